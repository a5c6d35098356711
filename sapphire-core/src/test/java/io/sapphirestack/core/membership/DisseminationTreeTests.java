package io.sapphirestack.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.AccountUsageTable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against trees that differ between instances with the same membership view, contain a cycle
 * or leave an instance out.
 */
class DisseminationTreeTests {

    private static List<InstanceInfo> instances(int count) {
        List<InstanceInfo> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            InstanceRef ref = new InstanceRef(InstanceId.of("i" + i), 1);
            all.add(new InstanceInfo(ref, "az" + i % 4, "r1", "p" + i, "h" + i, 1));
        }
        return all;
    }

    @Property(seed = "5711", tries = 200)
    void treeConnectsAllInstancesWithoutCycles(
            @ForAll @IntRange(min = 1, max = 120) int count,
            @ForAll @IntRange(min = 2, max = 4) int fanOut,
            @ForAll long seed) {
        List<InstanceInfo> all = instances(count);
        DisseminationTree tree = new DisseminationTree(all, fanOut);
        Collections.shuffle(all, new Random(seed));
        assertThat(new DisseminationTree(all, fanOut).fingerprint()).isEqualTo(tree.fingerprint());
        int edgeEnds = 0;
        Set<InstanceId> reached = new HashSet<>();
        Deque<InstanceId> unvisited = new ArrayDeque<>(List.of(all.get(0).ref().id()));
        while (!unvisited.isEmpty()) {
            InstanceId id = unvisited.poll();
            if (reached.add(id)) {
                List<InstanceInfo> neighbours = tree.neighbours(id);
                assertThat(neighbours.size()).isLessThanOrEqualTo(fanOut + 1);
                edgeEnds += neighbours.size();
                neighbours.forEach(n -> unvisited.add(n.ref().id()));
            }
        }
        assertThat(reached).hasSize(count);
        assertThat(edgeEnds).as("twice the number of edges").isEqualTo(2 * (count - 1));
    }

    @Property(seed = "5712", tries = 100)
    void everyInstanceKnowsTheUsageOfAllOthersAlsoAfterTheTreeChanges(
            @ForAll @IntRange(min = 2, max = 30) int count, @ForAll long seed) {
        Random random = new Random(seed);
        Map<InstanceId, UsageAggregator> aggregators = new HashMap<>();
        Map<InstanceId, AccountUsageTable> local = new HashMap<>();
        List<InstanceInfo> all = instances(count);
        for (InstanceInfo info : all) {
            aggregators.put(info.ref().id(), new UsageAggregator());
        }
        long nowMs = 0;
        for (int phase = 0; phase < 3; phase++) {
            List<InstanceInfo> live = phase == 0 ? all : all.subList(0, 1 + random.nextInt(count));
            DisseminationTree tree = new DisseminationTree(live, 2);
            int sum = 0;
            for (InstanceInfo info : live) {
                int concurrent = random.nextInt(50);
                sum += concurrent;
                local.put(
                        info.ref().id(),
                        new AccountUsageTable(Map.of(1, new AccountUsage(concurrent, 0, 0))));
                aggregators
                        .get(info.ref().id())
                        .retainNeighbours(
                                tree.neighbours(info.ref().id()).stream()
                                        .map(n -> n.ref().id())
                                        .collect(Collectors.toSet()));
            }
            for (int round = 0; round < 2 * 10; round++) {
                nowMs += UsageAggregator.RELAXED_INTERVAL_MS;
                for (InstanceInfo from : live) {
                    InstanceId id = from.ref().id();
                    for (InstanceInfo to : tree.neighbours(id)) {
                        byte[] bytes =
                                aggregators
                                        .get(id)
                                        .encodeFor(
                                                to.ref().id(),
                                                local.get(id),
                                                h -> false,
                                                false,
                                                nowMs);
                        aggregators.get(to.ref().id()).receive(id, bytes);
                    }
                }
            }
            for (InstanceInfo info : live) {
                InstanceId id = info.ref().id();
                int own = local.get(id).byHandle().get(1).concurrent();
                int others =
                        aggregators
                                .get(id)
                                .others()
                                .byHandle()
                                .getOrDefault(1, AccountUsage.NONE)
                                .concurrent();
                assertThat(own + others).isEqualTo(sum);
            }
        }
    }
}

package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.RetryUsage;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.membership.ReportTable;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.PrefixHashes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against reports that do not reach every instance, are sent over an edge twice, or replace
 * newer state by older state. Calls that fail and membership views that differ between instances
 * cause such faults. Instances run in one process with a simulated network.
 */
class DisseminationServiceTests extends AbstractDisseminationTests {

    @Property(seed = "2711", tries = 40)
    void eachReportIsSentOverEachEdgeOnceAndReachesEveryInstance(
            @ForAll @IntRange(min = 1, max = 30) int count, @ForAll long seed) {
        random = new Random(seed);
        startMembers(count);
        // The exchanges after a change of the tree take place in the first rounds.
        runRound();
        runRound();
        for (int sequence = 1; sequence <= 3; sequence++) {
            sendsByEdge.clear();
            announce(members.get(random.nextInt(count)), "e1", 1, sequence, "v" + sequence / 3);
            for (int i = 0; i < 12; i++) {
                runRound();
            }
            assertThat(sendsByEdge).hasSize(count - 1);
            assertThat(sendsByEdge.values()).allMatch(n -> n == 1);
            for (Member member : members) {
                EndpointState state = member.table.read().find(EndpointId.of("e1")).orElseThrow();
                assertThat(state.load().running()).isEqualTo(sequence);
                assertThat(state.models())
                        .containsExactly(new ModelPin("m", "", "v" + sequence / 3));
            }
        }
        int sum = 0;
        for (Member member : members) {
            member.inFlight = random.nextInt(5);
            sum += member.inFlight;
            member.retryBudgetUse =
                    RetryUsageTable.ofServices(
                            Map.of(
                                    "scribe",
                                    new RetryUsage(1, 20 * member.inFlight, member.inFlight)));
        }
        for (int i = 0; i < 30; i++) {
            runRound();
        }
        for (Member member : members) {
            assertThat(member.parts.inFlight().read().of(EndpointId.of("e1"), 1) + member.inFlight)
                    .isEqualTo(sum);
            assertThat(member.parts.usage().read().byHandle().getOrDefault(7, AccountUsage.NONE))
                    .isEqualTo(new AccountUsage(count - 1, 0, 0));
            int others = sum - member.inFlight;
            assertThat(member.parts.retryBudgetUse().read().of("scribe").orElse(RetryUsage.NONE))
                    .isEqualTo(new RetryUsage(count - 1, 20 * others, others));
            assertThat(member.parts.retryBudgetUse().read().of("ledger")).isEmpty();
        }
    }

    @Example
    void inFlightIsDisseminatedForManyEndpointsIfTheLimitIsRaised() {
        maxInFlightEndpoints = 400;
        startMembers(3);
        runRound();
        runRound();
        for (int i = 1; i <= 150; i++) {
            announce(members.get(i % 3), "e" + i, 1, 1, "v1");
        }
        members.forEach(member -> member.inFlight = 5);
        for (int i = 0; i < 10; i++) {
            runRound();
        }
        for (Member member : members) {
            assertThat(member.parts.inFlight().read().of(EndpointId.of("e1"), 1)).isEqualTo(10);
        }
    }

    /**
     * Announcements, failed calls, differing membership views and restarts of endpoints in random
     * order. After the faults end, all instances must know the newest announcement of each
     * endpoint.
     */
    @Property(seed = "2712", tries = 40)
    void antiEntropyRestoresReportsMissedWhileViewsDiffered(
            @ForAll @IntRange(min = 2, max = 15) int count, @ForAll long seed) {
        random = new Random(seed);
        startMembers(count);
        Map<String, EndpointAnnouncement> newest = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            failurePercent = random.nextInt(60);
            Member member = members.get(random.nextInt(count));
            if (random.nextInt(3) == 0) {
                List<Member> view = new ArrayList<>(members);
                view.removeIf(m -> m != member && random.nextInt(4) == 0);
                member.setMembershipView(view);
            }
            member.generations = random.nextInt(3);
            String id = "e" + random.nextInt(4);
            EndpointAnnouncement last = newest.get(id);
            long epoch = last == null ? 1 : last.epochMs();
            long sequence = last == null ? 1 : last.sequence() + 1;
            if (random.nextInt(8) == 0) {
                epoch++;
                sequence = 1;
            }
            String version = random.nextInt(3) == 0 || last == null ? "v" + step : version(last);
            announce(member, id, epoch, sequence, version);
            newest.put(id, announcement(id, epoch, sequence, version, List.of()));
            runRound();
        }
        failurePercent = 0;
        members.forEach(m -> m.setMembershipView(members));
        // Exchanges restore endpoints and details. A load that was queued for a former neighbour is
        // replaced only by the next announcement, so the last ones are made in the final tree.
        runRound();
        newest.replaceAll(
                (id, a) -> announcement(id, a.epochMs(), a.sequence() + 1, version(a), List.of()));
        newest.forEach(
                (id, a) -> announce(members.get(0), id, a.epochMs(), a.sequence(), version(a)));
        for (int i = 0; i < 40; i++) {
            runRound();
        }
        for (Member member : members) {
            newest.forEach(
                    (id, a) -> {
                        EndpointState state =
                                member.table.read().find(EndpointId.of(id)).orElseThrow();
                        assertThat(state.epochMs()).isEqualTo(a.epochMs());
                        assertThat(state.load().running()).isEqualTo((int) a.sequence());
                        assertThat(state.models()).containsExactlyElementsOf(a.models());
                    });
        }
        assertUsageIsKnownWithinOneExchangePeriod();
    }

    private void assertUsageIsKnownWithinOneExchangePeriod() {
        // Calls fail while the tree stays the same, because after a change of the tree all
        // instances send full sums.
        for (int i = 0; i < 20; i++) {
            failurePercent = random.nextInt(60);
            members.get(random.nextInt(members.size())).generations = random.nextInt(3);
            runRound();
        }
        failurePercent = 0;
        for (long t = 0;
                t <= DisseminationService.ANTI_ENTROPY_INTERVAL_MS + 2_000;
                t += DisseminationService.BATCH_INTERVAL_MS) {
            runRound();
        }
        int sum = members.stream().mapToInt(m -> m.generations).sum();
        for (Member member : members) {
            AccountUsage others =
                    member.parts.usage().read().byHandle().getOrDefault(7, AccountUsage.NONE);
            assertThat(others.concurrent() + member.generations).isEqualTo(sum);
        }
    }

    private static String version(EndpointAnnouncement announcement) {
        return announcement.models().get(0).version();
    }

    @Test
    void delayedAnnouncementsNeverReplaceNewerState() {
        startMembers(3);
        announce(members.get(0), "e1", 2, 9, "new");
        runRound();
        runRound();
        announce(members.get(1), "e1", 2, 8, "old");
        announce(members.get(2), "e1", 1, 99, "older");
        for (int i = 0; i < 5; i++) {
            runRound();
        }
        for (Member member : members) {
            EndpointState state = member.table.read().find(EndpointId.of("e1")).orElseThrow();
            assertThat(state.models()).containsExactly(new ModelPin("m", "", "new"));
            assertThat(state.load().running()).isEqualTo(9);
        }
    }

    @Test
    void endpointWithoutAnnouncementsIsRemovedEverywhereAndStaysRemoved() {
        startMembers(4);
        announce(members.get(0), "e1", 1, 1, "v");
        for (int i = 0; i < 5; i++) {
            runRound();
        }
        nowMs += ReportTable.REMOVE_AFTER_MS;
        for (int i = 0; i < 150; i++) {
            runRound();
        }
        members.forEach(m -> assertThat(m.table.read().byId()).isEmpty());
    }

    @Test
    void cacheEventsReachThePrefixIndexOfOtherInstances() throws RefusedException {
        startMembers(4);
        runRound();
        PrefixHashes prefix = PrefixHashes.of("z".repeat(2_048));
        announce(members.get(0), "e1", 1, 1, "v");
        runRound();
        members.get(0)
                .registry
                .receive(
                        announcement("e1", 1, 2, "v", List.of(CacheEvent.of(prefix.hash(1), true))),
                        KEY);
        for (int i = 0; i < 5; i++) {
            runRound();
        }
        for (Member member : members) {
            assertThat(member.prefixes.cachedBlocks(EndpointId.of("e1"), 1, prefix)).isEqualTo(2);
        }
    }

    @Test
    void wrongKeyAndUnknownServiceAreRefused() {
        startMembers(1);
        EndpointRegistry registry = members.get(0).registry;
        EndpointAnnouncement good = announcement("e1", 1, 1, "v", List.of());
        assertThatThrownBy(() -> registry.receive(good, "wrong"))
                .isInstanceOf(RefusedException.class)
                .hasMessageContaining("unauthorized");
        EndpointAnnouncement other =
                new EndpointAnnouncement(
                        good.id(),
                        "other",
                        "a:1",
                        "az",
                        1,
                        1,
                        null,
                        null,
                        null,
                        0,
                        EndpointPhase.SERVING,
                        "");
        assertThatThrownBy(() -> registry.receive(other, KEY))
                .isInstanceOf(RefusedException.class)
                .hasMessageContaining("not_found");
        assertThat(members.get(0).table.read().byId()).isEmpty();
    }
}

package io.sapphirestack.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.CacheEvent;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against attributing blocks to the wrong endpoint or to an earlier process of it. */
class PrefixIndexTests {
    private static final EndpointId E1 = EndpointId.of("e1");

    private static PrefixHashes prompt(int seed, int blocks) {
        return PrefixHashes.of(("" + (char) ('a' + seed)).repeat(1_024 * blocks));
    }

    @Test
    void prefixIsFoundDespiteMissingEvents() {
        PrefixIndex index = new PrefixIndex();
        PrefixHashes prefix = prompt(0, 5);
        index.apply(E1, 1, List.of(CacheEvent.of(prefix.hash(3), true)));
        assertThat(index.cachedBlocks(E1, 1, prefix)).isEqualTo(4);
        index.apply(E1, 1, List.of(CacheEvent.of(prefix.hash(3), false)));
        assertThat(index.cachedBlocks(E1, 1, prefix)).isZero();
    }

    @Test
    void restartedEndpointStartsEmptyAndIgnoresEventsOfEarlierProcess() {
        PrefixIndex index = new PrefixIndex();
        PrefixHashes prefix = prompt(0, 3);
        index.recordPlacement(E1, 1, prefix);
        assertThat(index.cachedBlocks(E1, 1, prefix)).isEqualTo(3);
        assertThat(index.cachedBlocks(E1, 2, prefix)).isZero();
        index.apply(E1, 2, List.of());
        index.apply(E1, 1, List.of(CacheEvent.of(prefix.hash(0), true)));
        index.recordPlacement(E1, 1, prefix);
        assertThat(index.cachedBlocks(E1, 2, prefix)).isZero();
        index.remove(E1);
        assertThat(index.sizeBytes()).isZero();
    }

    @Test
    void memoryIsBoundedAndNewBlocksReplaceOldOnes() {
        PrefixIndex index = new PrefixIndex(64);
        for (int i = 0; i < 200; i++) {
            index.apply(E1, 1, List.of(CacheEvent.of(0x100L * (i + 1), true)));
        }
        assertThat(index.sizeBytes()).isEqualTo(8 * 9 * 8);
        PrefixHashes last = prompt(1, 2);
        index.recordPlacement(E1, 1, last);
        assertThat(index.cachedBlocks(E1, 1, last)).isEqualTo(2);
    }

    @Property(seed = "9711", tries = 200)
    void matchesPlainSetWithinCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        PrefixIndex index = new PrefixIndex(4_096);
        Map<EndpointId, Set<Long>> oracle = new HashMap<>();
        Map<EndpointId, Long> epochs = new HashMap<>();
        for (int step = 0; step < 100; step++) {
            EndpointId id = EndpointId.of("e" + random.nextInt(3));
            PrefixHashes prefix = prompt(random.nextInt(6), 1 + random.nextInt(4));
            long current = epochs.getOrDefault(id, 1L);
            long epoch = current + (random.nextInt(10) == 0 ? random.nextInt(3) - 1 : 0);
            Set<Long> blocks = oracle.computeIfAbsent(id, i -> new HashSet<>());
            if (epoch > current) {
                blocks.clear();
                epochs.put(id, epoch);
            } else {
                epochs.putIfAbsent(id, current);
            }
            boolean stored = random.nextInt(3) > 0;
            long hash = prefix.hash(random.nextInt(prefix.size())) & ~1L;
            index.apply(id, epoch, List.of(CacheEvent.of(hash, stored)));
            if (epoch == epochs.get(id)) {
                if (stored) {
                    blocks.add(hash);
                } else {
                    blocks.remove(hash);
                }
            }
            int expected = 0;
            for (int i = 0; i < prefix.size(); i++) {
                expected = blocks.contains(prefix.hash(i) & ~1L) ? i + 1 : expected;
            }
            assertThat(index.cachedBlocks(id, epochs.get(id), prefix)).isEqualTo(expected);
        }
    }
}

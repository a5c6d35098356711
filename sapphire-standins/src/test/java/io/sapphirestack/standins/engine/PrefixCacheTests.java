package io.sapphirestack.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.routing.PrefixHashes;
import org.junit.jupiter.api.Test;

/**
 * Guards against a cache that evicts the wrong blocks, or that publishes events too early, twice or
 * in spite of their loss.
 */
class PrefixCacheTests {

    private static PrefixHashes prompt(char fill, int blocks) {
        return PrefixHashes.of(String.valueOf(fill).repeat(blocks * PrefixHashes.BLOCK_BYTES));
    }

    @Test
    void leastRecentlyUsedBlockIsEvicted() {
        PrefixCache cache = new PrefixCache(3, 0, 0, 1);
        cache.lookUpAndStore(prompt('a', 2), 0);
        cache.lookUpAndStore(prompt('b', 1), 0);
        assertThat(cache.lookUpAndStore(prompt('a', 2), 0)).isEqualTo(2);
        cache.lookUpAndStore(prompt('c', 1), 0);
        assertThat(cache.lookUpAndStore(prompt('a', 2), 0)).isEqualTo(2);
        assertThat(cache.lookUpAndStore(prompt('b', 1), 0)).isZero();
    }

    @Test
    void eventsArePublishedAfterTheLag() {
        PrefixCache cache = new PrefixCache(8, 100, 0, 1);
        PrefixHashes prompt = prompt('a', 1);
        cache.lookUpAndStore(prompt, 1_000);
        assertThat(cache.drainEvents(1_099)).isEmpty();
        assertThat(cache.drainEvents(1_100)).containsExactly(CacheEvent.of(prompt.hash(0), true));
        assertThat(cache.drainEvents(9_999)).isEmpty();
    }

    @Test
    void configuredShareOfEventsIsDropped() {
        PrefixCache cache = new PrefixCache(2_000, 0, 0.5, 42);
        cache.lookUpAndStore(prompt('a', 1_000), 0);
        assertThat(cache.drainEvents(0)).hasSizeBetween(400, 600);
    }
}

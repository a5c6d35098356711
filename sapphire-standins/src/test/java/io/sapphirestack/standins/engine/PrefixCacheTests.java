package io.sapphirestack.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.routing.PrefixHashes;
import org.junit.jupiter.api.Test;

/** Guards against a cache that keeps the wrong blocks or publishes events that never happened. */
class PrefixCacheTests {

    private static PrefixHashes prompt(char fill, int blocks) {
        return PrefixHashes.of(String.valueOf(fill).repeat(blocks * PrefixHashes.BLOCK_BYTES));
    }

    @Test
    void leastRecentlyUsedBlockIsEvicted() {
        PrefixCache cache = new PrefixCache(3, 0, 0, 1);
        cache.use(prompt('a', 2), 0);
        cache.use(prompt('b', 1), 0);
        assertThat(cache.use(prompt('a', 2), 0)).isEqualTo(2);
        cache.use(prompt('c', 1), 0);
        assertThat(cache.use(prompt('a', 2), 0)).isEqualTo(2);
        assertThat(cache.use(prompt('b', 1), 0)).isZero();
    }

    @Test
    void eventsComeAfterTheLag() {
        PrefixCache cache = new PrefixCache(8, 100, 0, 1);
        PrefixHashes prompt = prompt('a', 1);
        cache.use(prompt, 1_000);
        assertThat(cache.takeEvents(1_099)).isEmpty();
        assertThat(cache.takeEvents(1_100)).containsExactly(CacheEvent.of(prompt.hash(0), true));
        assertThat(cache.takeEvents(9_999)).isEmpty();
    }

    @Test
    void shareOfEventsIsLost() {
        PrefixCache cache = new PrefixCache(2_000, 0, 0.5, 42);
        cache.use(prompt('a', 1_000), 0);
        assertThat(cache.takeEvents(0)).hasSizeBetween(400, 600);
    }
}

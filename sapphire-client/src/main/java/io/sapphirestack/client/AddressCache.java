package io.sapphirestack.client;

import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Caches the addresses of ready instances for their time to live, with the seed addresses as a
 * fallback. Thread-safe.
 */
public final class AddressCache {

    private final List<String> seeds;
    private final MillisClock clock;
    private final RandomGenerator random;
    private List<String> instanceAddresses = List.of();
    private long expiresAtMs = Long.MIN_VALUE;
    private String lastFailedAddress = "";

    /**
     * Creates a cache that is empty and expired.
     *
     * @param seeds addresses to use until the first update and as a fallback after it
     * @param clock monotonic clock
     * @param random source of randomness for balancing requests over the addresses
     */
    public AddressCache(List<String> seeds, MillisClock clock, RandomGenerator random) {
        this.seeds = List.copyOf(seeds);
        this.clock = clock;
        this.random = random;
    }

    /** Returns whether the addresses should be fetched again. */
    public synchronized boolean isExpired() {
        return clock.nowMs() >= expiresAtMs;
    }

    /**
     * Replaces the addresses.
     *
     * @param addresses addresses of ready instances
     * @param ttlMs time until they expire, in milliseconds
     */
    public synchronized void update(List<String> addresses, long ttlMs) {
        instanceAddresses = List.copyOf(addresses);
        expiresAtMs = clock.nowMs() + ttlMs;
    }

    /**
     * Moves an address to the end of the candidates until another address fails, and expires the
     * cache.
     *
     * @param address address that failed or refused a request
     */
    public synchronized void reportFailure(String address) {
        lastFailedAddress = address;
        expiresAtMs = Long.MIN_VALUE;
    }

    /**
     * Returns all addresses in the order in which to try them: the cached ones (without any, the
     * seeds) in a random rotation, then the other seeds, and the address that failed last at the
     * end.
     */
    public synchronized List<String> candidates() {
        List<String> unordered = new ArrayList<>(instanceAddresses);
        for (String seed : seeds) {
            if (!unordered.contains(seed)) {
                unordered.add(seed);
            }
        }
        int preferredCount =
                instanceAddresses.isEmpty() ? unordered.size() : instanceAddresses.size();
        int firstIndex = random.nextInt(preferredCount);
        List<String> ordered = new ArrayList<>(unordered.size());
        for (int i = 0; i < preferredCount; i++) {
            ordered.add(unordered.get((firstIndex + i) % preferredCount));
        }
        ordered.addAll(unordered.subList(preferredCount, unordered.size()));
        Optional.of(lastFailedAddress).filter(ordered::remove).ifPresent(ordered::add);
        return ordered;
    }
}

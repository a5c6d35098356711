package io.sapphirestack.client;

import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Addresses of ready instances, refreshed after their time to live, with the seed addresses as a
 * fallback. Thread-safe.
 */
public final class AddressBook {

    private final List<String> seeds;
    private final MillisClock clock;
    private final RandomGenerator random;
    private List<String> known = List.of();
    private long expiresAtMs = Long.MIN_VALUE;
    private String avoided = "";

    /**
     * Creates an address book.
     *
     * @param seeds addresses to start from
     * @param clock monotonic clock
     * @param random source for spreading calls over the addresses
     */
    public AddressBook(List<String> seeds, MillisClock clock, RandomGenerator random) {
        this.seeds = List.copyOf(seeds);
        this.clock = clock;
        this.random = random;
    }

    /** Returns whether the list should be asked for again. */
    public synchronized boolean isExpired() {
        return clock.nowMs() >= expiresAtMs;
    }

    /**
     * Replaces the list.
     *
     * @param addresses addresses of ready instances
     * @param ttlMs how long they may be used, in milliseconds
     */
    public synchronized void update(List<String> addresses, long ttlMs) {
        known = List.copyOf(addresses);
        expiresAtMs = clock.nowMs() + ttlMs;
    }

    /**
     * Puts an address last until another one fails, and makes the list expire.
     *
     * @param address address that failed or refused
     */
    public synchronized void reportFailure(String address) {
        avoided = address;
        expiresAtMs = Long.MIN_VALUE;
    }

    /**
     * Returns all addresses in the order in which they should be tried: a random rotation, the
     * avoided one last.
     */
    public synchronized List<String> candidates() {
        List<String> source = new ArrayList<>(known);
        for (String seed : seeds) {
            if (!source.contains(seed)) {
                source.add(seed);
            }
        }
        int preferred = known.isEmpty() ? source.size() : known.size();
        int start = random.nextInt(preferred);
        List<String> ordered = new ArrayList<>(source.size());
        for (int i = 0; i < preferred; i++) {
            ordered.add(source.get((start + i) % preferred));
        }
        ordered.addAll(source.subList(preferred, source.size()));
        Optional.of(avoided).filter(ordered::remove).ifPresent(ordered::add);
        return ordered;
    }
}

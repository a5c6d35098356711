package io.sapphirestack.runtime.generation;

/** Time at which this instance last learned of an eviction. Thread-safe. */
final class LastEvictionTime {

    /** Time within which an evicted process that still runs is expected to join again. */
    private static final long REJOIN_MS = 30_000;

    private volatile long lastMs = Long.MIN_VALUE / 2;

    void record(long nowMs) {
        lastMs = nowMs;
    }

    boolean isRecent(long nowMs) {
        return nowMs - lastMs < REJOIN_MS;
    }
}

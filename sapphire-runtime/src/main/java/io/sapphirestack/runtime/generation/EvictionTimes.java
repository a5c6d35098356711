package io.sapphirestack.runtime.generation;

/** When this instance last learned of an eviction. Thread-safe. */
final class EvictionTimes {

    /** Time within which an evicted instance with its memory is expected to have joined again. */
    private static final long REJOIN_MS = 30_000;

    private volatile long lastMs = Long.MIN_VALUE / 2;

    void note(long nowMs) {
        lastMs = nowMs;
    }

    boolean recently(long nowMs) {
        return nowMs - lastMs < REJOIN_MS;
    }
}

package io.sapphirestack.core.rollout;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Bound on the latency of a route: the 95th percentile of the last responses of the old version.
 * Load that it addresses: the latency of a route follows the load, so a fixed bound would be
 * exceeded by both versions or by none. Not thread-safe.
 */
final class LatencyBound {

    private static final int SAMPLES = 64;

    /** Number of samples below which there is no bound. */
    private static final int MIN_SAMPLES = 20;

    private static final double QUANTILE = 0.95;

    /** Number of samples between two computations; sorting at each one would cost CPU time. */
    private static final int REFRESH_SAMPLES = 8;

    private final long[] samplesMs = new long[SAMPLES];
    private int count;
    private OptionalLong boundMs = OptionalLong.empty();

    /**
     * Adds a response of the old version.
     *
     * @param latencyMs its latency, in milliseconds
     */
    void add(long latencyMs) {
        samplesMs[count % SAMPLES] = latencyMs;
        count++;
        if (count >= MIN_SAMPLES && count % REFRESH_SAMPLES == 0) {
            long[] sorted = Arrays.copyOf(samplesMs, Math.min(count, SAMPLES));
            Arrays.sort(sorted);
            boundMs = OptionalLong.of(sorted[(int) (QUANTILE * (sorted.length - 1))]);
        }
    }

    /**
     * Returns whether a response is slow.
     *
     * @param latencyMs its latency, in milliseconds
     * @return whether it is above the bound; false while there is no bound
     */
    boolean isExceededBy(long latencyMs) {
        return boundMs.isPresent() && latencyMs > boundMs.getAsLong();
    }
}

package io.sapphirestack.core.record;

/**
 * Content of a {@code weight-store} record.
 *
 * @param bytesPerS transfer rate limit of the store in bytes per second, positive
 * @param maxConcurrentLoads maximum number of endpoints that fetch weights at the same time,
 *     positive
 */
public record WeightStoreSpec(long bytesPerS, int maxConcurrentLoads) {

    /** Checks the ranges of the components. */
    public WeightStoreSpec {
        if (bytesPerS <= 0 || maxConcurrentLoads <= 0) {
            throw new IllegalArgumentException("bytesPerS and maxConcurrentLoads must be positive");
        }
    }
}

package io.sapphirestack.runtime.generation;

/**
 * Limits on the finished generations that an instance keeps.
 *
 * @param resultRetentionMs time for which a finished generation can be fetched, in milliseconds;
 *     positive
 * @param maxFinishedBytes maximum memory for finished generations in bytes, positive; the oldest
 *     are dropped first
 */
public record GenerationLimits(long resultRetentionMs, long maxFinishedBytes) {

    /** Default limits: 15 minutes and 256 MiB. */
    public static final GenerationLimits DEFAULT =
            new GenerationLimits(15 * 60_000L, 256L * 1_024 * 1_024);

    /** Checks that both limits are positive. */
    public GenerationLimits {
        if (resultRetentionMs <= 0 || maxFinishedBytes <= 0) {
            throw new IllegalArgumentException(
                    "resultRetentionMs and maxFinishedBytes must be positive");
        }
    }
}

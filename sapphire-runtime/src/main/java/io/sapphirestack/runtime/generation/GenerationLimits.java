package io.sapphirestack.runtime.generation;

/**
 * Bounds of the generation path.
 *
 * @param resultRetentionMs how long a finished generation can be fetched, in milliseconds
 * @param maxFinishedBytes memory for finished generations in bytes; the oldest are dropped first
 */
public record GenerationLimits(long resultRetentionMs, long maxFinishedBytes) {

    /** 15 minutes and 256 MiB. */
    public static final GenerationLimits DEFAULT =
            new GenerationLimits(15 * 60_000L, 256L * 1_024 * 1_024);

    /** Checks the components. */
    public GenerationLimits {
        if (resultRetentionMs <= 0 || maxFinishedBytes <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }
}

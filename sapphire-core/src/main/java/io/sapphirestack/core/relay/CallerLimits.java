package io.sapphirestack.core.relay;

/**
 * Bounds on what callers may send.
 *
 * @param headerBytes largest header
 * @param bodyBytes largest body
 * @param headerTimeoutMs longest time from the first byte of a header to its last
 * @param idleTimeoutMs longest time that a connection may stay idle
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** Limits before the first plan is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}

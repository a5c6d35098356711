package io.sapphirestack.core.relay;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes maximum size of a request header, in bytes
 * @param bodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs maximum time from the first to the last byte of a header, in milliseconds
 * @param idleTimeoutMs maximum time that a connection may stay idle, in milliseconds
 */
public record CallerLimits(
        int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** Limits that apply until the first traffic plan is received. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}

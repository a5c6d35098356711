package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;

/**
 * Attempt that failed before its first event at an endpoint that still accepted a connection. The
 * endpoint is probed again, because the listener of a process that crashes may outlive its
 * connections by some milliseconds.
 *
 * @param endpoint endpoint of the attempt
 * @param sentAtMs time at which the request was sent, on the monotonic clock, in milliseconds
 * @param failedAtMs time of the failure, on the monotonic clock, in milliseconds
 */
record SuspectedCrash(EndpointState endpoint, long sentAtMs, long failedAtMs) {

    /** Time from the failure to the second probe, in milliseconds. */
    static final long PROBE_AFTER_MS = 200;

    boolean isProbeDue(long nowMs) {
        return nowMs - failedAtMs >= PROBE_AFTER_MS;
    }
}

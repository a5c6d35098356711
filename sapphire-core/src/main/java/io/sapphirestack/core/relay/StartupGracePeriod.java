package io.sapphirestack.core.relay;

/**
 * Limits how long a request may wait at an instance that has just started. The instance learns the
 * traffic plan and the endpoints within its first seconds, so a request that waits briefly can be
 * served, while a refusal would cost its caller one of a few retries. After this period the plan
 * and the endpoints are known, and requests that cannot be served are refused immediately.
 * Immutable.
 */
public final class StartupGracePeriod {

    /**
     * Length of the grace period, in milliseconds. It is long enough for an election and two
     * heartbeats of every endpoint.
     */
    static final long GRACE_PERIOD_MS = 3_000;

    /**
     * Maximum wait of a request, in milliseconds. It leaves a stream half of the usual target for
     * its first event.
     */
    static final long MAX_WAIT_MS = 2_000;

    /**
     * A request waits at most this fraction (1/10) of its timeout, so that a retry at another
     * instance can still be on time.
     */
    static final long CALLER_TIMEOUT_DIVISOR = 10;

    private final long startedAtMs;

    /**
     * Creates the limit for one instance.
     *
     * @param startedAtMs start time of the instance on the monotonic clock, in milliseconds
     */
    public StartupGracePeriod(long startedAtMs) {
        this.startedAtMs = startedAtMs;
    }

    /**
     * Returns whether the instance may not know the plan or all endpoints yet.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return whether the period has not ended
     */
    public boolean isActive(long nowMs) {
        return nowMs - startedAtMs < GRACE_PERIOD_MS;
    }

    /**
     * Returns the time until which a request may wait.
     *
     * @param receivedAtMs arrival time of the request on the monotonic clock, in milliseconds
     * @param callerTimeoutMs timeout of the request, in milliseconds
     * @return time on the monotonic clock in milliseconds; in the past if it must not wait
     */
    public long waitUntilMs(long receivedAtMs, long callerTimeoutMs) {
        long waitMs = Math.min(MAX_WAIT_MS, Math.max(0, callerTimeoutMs) / CALLER_TIMEOUT_DIVISOR);
        return Math.min(receivedAtMs + waitMs, startedAtMs + GRACE_PERIOD_MS);
    }
}

package io.sapphirestack.core.relay;

/**
 * How long a request may wait at an instance that has just started. Within the first seconds the
 * traffic plan and the endpoints become known, so a request that waits a little is served, while a
 * refusal costs its caller one of few repeats. An instance that is past its start knows what there
 * is and refuses at once.
 */
public final class StartupPatience {

    /** An election and two heartbeats of every endpoint fit into this time after a start. */
    static final long LEARNING_MS = 3_000;

    /** Longest wait, which leaves a stream half of a usual time to its first event. */
    static final long LONGEST_WAIT_MS = 2_000;

    /** A tenth of the caller's time may pass, so that a repeat elsewhere can still be on time. */
    static final long CALLER_TIME_DIVISOR = 10;

    private final long startedAtMs;

    /**
     * Creates the patience of one instance.
     *
     * @param startedAtMs when the instance started, on the monotonic clock
     */
    public StartupPatience(long startedAtMs) {
        this.startedAtMs = startedAtMs;
    }

    /**
     * Returns whether the instance may still learn of a plan or of endpoints that exist.
     *
     * @param nowMs time on the monotonic clock
     * @return whether its start is recent
     */
    public boolean isLearning(long nowMs) {
        return nowMs - startedAtMs < LEARNING_MS;
    }

    /**
     * Returns until when a request may wait.
     *
     * @param receivedAtMs when it arrived, on the monotonic clock
     * @param callerMs time that its caller gives it, in milliseconds
     * @return time on the monotonic clock; in the past if it is not to wait
     */
    public long waitUntilMs(long receivedAtMs, long callerMs) {
        long waitMs = Math.min(LONGEST_WAIT_MS, Math.max(0, callerMs) / CALLER_TIME_DIVISOR);
        return Math.min(receivedAtMs + waitMs, startedAtMs + LEARNING_MS);
    }
}

package io.sapphirestack.core.generation;

import io.sapphirestack.core.record.ResumeSpec;

/**
 * Failure detector for one attempt: receives the events of its stream and the results of probes,
 * and returns the next action. Not thread-safe.
 */
public final class AttemptMonitor {

    /**
     * Consecutive re-attachments without data after which an engine is suspected even if it
     * responds to probes. Without this limit a stream that is stuck would be read forever.
     */
    private static final int MAX_REATTACHMENTS_WITHOUT_DATA = 3;

    /**
     * Longest wait for the first token of a resumed attempt, in milliseconds. With this limit two
     * further attempts after the detection of a failure fit into the resume objective of 5 s.
     */
    private static final long RESUMED_FIRST_TOKEN_LIMIT_MS = 1_500;

    private final ResumeSpec spec;
    private final ResumeStrategy strategy;
    private long lastTokenMs;
    private final long firstTokenLimitMs;
    private boolean firstTokenReceived;
    private long firstTokenWaitStartMs;
    private long suspectedSinceMs;
    private boolean suspected;
    private boolean speculativeAttemptStarted;
    private int reattachmentsWithoutData;
    private int stallCount;

    /**
     * Creates a monitor.
     *
     * @param spec failure detection times of the service
     * @param strategy decides what to do when the engine is suspected or stalled
     * @param resumed whether the attempt continues an output after a failure; it then has to
     *     deliver its first token early
     * @param nowMs start of the attempt in milliseconds on the monotonic clock
     */
    public AttemptMonitor(ResumeSpec spec, ResumeStrategy strategy, boolean resumed, long nowMs) {
        this.spec = spec;
        this.firstTokenLimitMs = resumed ? RESUMED_FIRST_TOKEN_LIMIT_MS : Long.MAX_VALUE;
        this.firstTokenWaitStartMs = nowMs;
        this.strategy = strategy;
        this.lastTokenMs = nowMs;
    }

    /** Returns how often a token was overdue while the engine sent keep-alives. */
    public int stallCount() {
        return stallCount;
    }

    /**
     * Records that a token was received.
     *
     * @param nowMs current time in milliseconds on the monotonic clock
     */
    public void onToken(long nowMs) {
        lastTokenMs = nowMs;
        firstTokenReceived = true;
        clearSuspicion();
    }

    /**
     * Records that a keep-alive was received.
     *
     * @param nowMs current time in milliseconds on the monotonic clock
     * @return {@link ResumeAction#MOVE} if the first token of a resumed attempt is overdue, or if
     *     the engine is stalled and the strategy moves the attempt; otherwise {@link
     *     ResumeAction#CONTINUE}
     */
    public ResumeAction onKeepAlive(long nowMs) {
        clearSuspicion();
        if (!firstTokenReceived && nowMs - firstTokenWaitStartMs >= firstTokenLimitMs) {
            firstTokenWaitStartMs = nowMs;
            stallCount++;
            return ResumeAction.MOVE;
        }
        if (nowMs - lastTokenMs < spec.stallMs()) {
            return ResumeAction.CONTINUE;
        }
        stallCount++;
        lastTokenMs = nowMs;
        return strategy.onStalled();
    }

    /**
     * Records that the connection was reset or refused, or that the engine does not know the
     * stream.
     *
     * @return {@link ResumeAction#MOVE}
     */
    public ResumeAction onStreamUnavailable() {
        return ResumeAction.MOVE;
    }

    /**
     * Records that no data was received for {@link ResumeSpec#silenceMs()}.
     *
     * @return {@link ResumeAction#PROBE}
     */
    public ResumeAction onSilence() {
        return ResumeAction.PROBE;
    }

    /**
     * Records the result of a probe.
     *
     * @param responded whether the engine responded before the timeout
     * @param nowMs current time in milliseconds on the monotonic clock
     * @return next action
     */
    public ResumeAction onProbeResult(boolean responded, long nowMs) {
        if (responded && reattachmentsWithoutData < MAX_REATTACHMENTS_WITHOUT_DATA) {
            reattachmentsWithoutData++;
            suspected = false;
            return ResumeAction.REATTACH;
        }
        if (!suspected) {
            suspected = true;
            suspectedSinceMs = nowMs;
        }
        ResumeAction action = strategy.onSuspected(nowMs - suspectedSinceMs, spec);
        if (action == ResumeAction.SPECULATE && speculativeAttemptStarted) {
            return ResumeAction.PROBE;
        }
        speculativeAttemptStarted |= action == ResumeAction.SPECULATE;
        return action;
    }

    private void clearSuspicion() {
        suspected = false;
        speculativeAttemptStarted = false;
        reattachmentsWithoutData = 0;
    }
}

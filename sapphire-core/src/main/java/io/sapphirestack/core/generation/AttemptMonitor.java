package io.sapphirestack.core.generation;

import io.sapphirestack.core.record.ResumeSpec;

/**
 * Failure detection of one attempt: takes what was observed on its stream and by probes, and gives
 * the next action. Not thread-safe.
 */
public final class AttemptMonitor {

    /**
     * Re-attachments without any data after which a stream counts as suspected although probes are
     * answered; an engine with a stuck stream would otherwise be read for ever.
     */
    private static final int MAX_FRUITLESS_REATTACHMENTS = 3;

    /** Two moves after the detection of a loss still fit into 5 s. */
    private static final long RESUMED_FIRST_TOKEN_LIMIT_MS = 1_500;

    private final ResumeSpec spec;
    private final ResumeStrategy strategy;
    private long lastTokenMs;
    private final long firstTokenLimitMs;
    private boolean started;
    private long waitingSinceMs;
    private long suspectedSinceMs;
    private boolean suspected;
    private boolean speculating;
    private int fruitless;
    private int stalls;

    /**
     * Creates a monitor.
     *
     * @param spec times of the service
     * @param strategy decision about a suspected engine
     * @param resumed whether the attempt continues an output that a caller is waiting for
     * @param nowMs start of the attempt on the monotonic clock
     */
    public AttemptMonitor(ResumeSpec spec, ResumeStrategy strategy, boolean resumed, long nowMs) {
        this.spec = spec;
        this.firstTokenLimitMs = resumed ? RESUMED_FIRST_TOKEN_LIMIT_MS : Long.MAX_VALUE;
        this.waitingSinceMs = nowMs;
        this.strategy = strategy;
        this.lastTokenMs = nowMs;
    }

    /** Returns how often the engine was slow: keep-alives without tokens for the stall time. */
    public int stalls() {
        return stalls;
    }

    /**
     * Notes a token.
     *
     * @param nowMs current time on the monotonic clock
     */
    public void onToken(long nowMs) {
        lastTokenMs = nowMs;
        started = true;
        clearSuspicion();
    }

    /**
     * Notes a keep-alive.
     *
     * @param nowMs current time on the monotonic clock
     * @return {@link ResumeAction#CONTINUE}, or {@link ResumeAction#MOVE} if the engine is slow and
     *     the policy moves then
     */
    public ResumeAction onKeepAlive(long nowMs) {
        clearSuspicion();
        if (!started && nowMs - waitingSinceMs >= firstTokenLimitMs) {
            waitingSinceMs = nowMs;
            stalls++;
            return ResumeAction.MOVE;
        }
        if (nowMs - lastTokenMs < spec.stallMs()) {
            return ResumeAction.CONTINUE;
        }
        stalls++;
        lastTokenMs = nowMs;
        return strategy.onStalled();
    }

    /** Notes that the connection was reset or refused, or that the stream is not known. */
    public ResumeAction onReset() {
        return ResumeAction.MOVE;
    }

    /** Notes that nothing was received for the silence time. */
    public ResumeAction onSilence() {
        return ResumeAction.PROBE;
    }

    /**
     * Notes the result of a probe.
     *
     * @param answered whether the engine answered in time
     * @param nowMs current time on the monotonic clock
     * @return next action
     */
    public ResumeAction onProbe(boolean answered, long nowMs) {
        if (answered && fruitless < MAX_FRUITLESS_REATTACHMENTS) {
            fruitless++;
            suspected = false;
            return ResumeAction.REATTACH;
        }
        if (!suspected) {
            suspected = true;
            suspectedSinceMs = nowMs;
        }
        ResumeAction action = strategy.onSuspected(nowMs - suspectedSinceMs, spec);
        if (action == ResumeAction.SPECULATE && speculating) {
            return ResumeAction.PROBE;
        }
        speculating |= action == ResumeAction.SPECULATE;
        return action;
    }

    private void clearSuspicion() {
        suspected = false;
        speculating = false;
        fruitless = 0;
    }
}

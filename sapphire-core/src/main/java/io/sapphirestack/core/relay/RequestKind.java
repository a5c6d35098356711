package io.sapphirestack.core.relay;

/** Kind of a relayed request: whether it may run more than once and whether it is a stream. */
public enum RequestKind {
    /** Plain request that may run more than once. */
    IDEMPOTENT,

    /** Plain request that runs at most once. */
    NON_IDEMPOTENT,

    /** Stream of events that may be resumed at another endpoint after the last event received. */
    RESUMABLE_STREAM,

    /** Stream of events that runs at most once. */
    STREAM;

    /** Returns whether the response is a stream of events. */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == STREAM;
    }

    /** Returns whether the request may be retried although an earlier attempt may have run. */
    public boolean isSafeToRetry() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}

package io.sapphirestack.core.relay;

/** What may be repeated of a relayed request. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** A stream of events that may continue at another endpoint after its last event. */
    RESUMABLE_STREAM,

    /** A stream of events that must not run twice. */
    STREAM;

    /** Returns whether the answer is a stream of events. */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == STREAM;
    }

    /** Returns whether the request may be sent again although it may have run. */
    public boolean mayRunAgain() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}

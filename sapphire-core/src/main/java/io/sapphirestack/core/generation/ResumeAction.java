package io.sapphirestack.core.generation;

/**
 * Next action for a running attempt of a generation, chosen by {@link AttemptMonitor}. An attempt
 * reads the token stream of one engine endpoint.
 */
public enum ResumeAction {
    /** Continue to read the stream. */
    CONTINUE,
    /** Check over a new connection whether the engine responds; the stream stays open. */
    PROBE,
    /** Read the stream of the same attempt from the current token offset over a new connection. */
    REATTACH,
    /** Abandon this attempt and start the next one on another endpoint. */
    MOVE,
    /** Start the next attempt on another endpoint and continue to probe this one. */
    SPECULATE
}

package io.sapphirestack.core.generation;

/** Next action for a running attempt. */
public enum ResumeAction {
    /** Continue to read the stream. */
    CONTINUE,
    /** Probe the engine on a new connection. */
    PROBE,
    /** Read the stream of the same attempt from the current offset over a new connection. */
    REATTACH,
    /** Abandon this attempt and start the next one on another endpoint. */
    MOVE,
    /** Start the next attempt on another endpoint and continue to probe this one. */
    SPECULATE
}

package io.sapphirestack.core.generation;

/** What to do with a running attempt. */
public enum ResumeAction {
    /** Keep reading the stream. */
    CONTINUE,
    /** Probe the engine on a new connection. */
    PROBE,
    /** Read the same attempt from the current offset over a new connection. */
    REATTACH,
    /** Start the next attempt on another endpoint and give this one up. */
    MOVE,
    /** Start the next attempt on another endpoint and keep probing this one. */
    SPECULATE
}

package io.sapphirestack.core.objective;

/** What a service-level objective is about. */
public enum Objective {
    /** Latency of a read. */
    READ_LATENCY,
    /** An order has a known outcome within its deadline. */
    ORDER_OUTCOME,
    /** Time to the first token of a generation. */
    FIRST_TOKEN,
    /** Time between two tokens. */
    BETWEEN_TOKENS,
    /** Time from the loss of an engine until the output continues. */
    RESUME
}

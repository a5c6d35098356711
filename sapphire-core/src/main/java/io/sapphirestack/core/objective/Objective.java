package io.sapphirestack.core.objective;

/** Quantity that a service-level objective sets a target for. */
public enum Objective {
    /** Latency of a read. */
    READ_LATENCY,
    /** Whether the outcome of an order is known within its deadline. */
    ORDER_OUTCOME,
    /** Time to the first token of a generation. */
    FIRST_TOKEN,
    /** Time between two consecutive tokens of a generation. */
    BETWEEN_TOKENS,
    /** Time from the failure of an engine until the output of its generation continues. */
    RESUME
}

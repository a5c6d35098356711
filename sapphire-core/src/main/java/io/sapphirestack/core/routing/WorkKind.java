package io.sapphirestack.core.routing;

/** Kind of work that is sent to an endpoint. */
public enum WorkKind {
    /** Generation: a long stream of tokens. */
    GENERATION,
    /** Non-idempotent request. */
    ORDER,
    /** Idempotent request. */
    READ
}

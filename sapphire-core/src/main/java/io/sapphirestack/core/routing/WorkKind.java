package io.sapphirestack.core.routing;

/** Kind of work that is sent to an endpoint. */
public enum WorkKind {
    /** Long stream of tokens. */
    GENERATION,
    /** Non-idempotent call. */
    ORDER,
    /** Idempotent call. */
    READ
}

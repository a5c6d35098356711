package io.sapphirestack.core.order;

/** State of an order key in the ledger. */
public enum OrderPhase {
    /** One holder may dispatch the order. */
    RESERVED,
    /** The order did not run under any reservation so far. */
    RELEASED,
    /** The order ran; its answer is kept. */
    DONE
}

package io.sapphirestack.core.order;

/** State of an order key in the ledger. */
public enum OrderPhase {
    /** A reservation is in force; its holder may dispatch the order. */
    RESERVED,
    /** The last reservation was released; the order has not been executed so far. */
    RELEASED,
    /** The order was executed; its response is stored. */
    DONE
}

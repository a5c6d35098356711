package io.sapphirestack.core.order;

/** Answer of the {@link OrderLedger}. */
public sealed interface OrderOutcome {

    /**
     * The holder may dispatch the order, once.
     *
     * @param nonce identifier of the reservation
     */
    record Granted(String nonce) implements OrderOutcome {}

    /**
     * The key is reserved and has no outcome yet.
     *
     * @param entry state of the key
     */
    record Reserved(OrderEntry entry) implements OrderOutcome {}

    /**
     * The order did not run.
     *
     * @param bodyHash hash of the body that was reserved, empty if unknown
     */
    record Released(String bodyHash) implements OrderOutcome {}

    /**
     * The order ran.
     *
     * @param entry state of the key with the answer
     */
    record Done(OrderEntry entry) implements OrderOutcome {}

    /** The key was used with another body. */
    record KeyReused() implements OrderOutcome {}

    /** The ledger is full; nothing was reserved. */
    record LedgerFull() implements OrderOutcome {}

    /** The key is not known. */
    record NotFound() implements OrderOutcome {}
}

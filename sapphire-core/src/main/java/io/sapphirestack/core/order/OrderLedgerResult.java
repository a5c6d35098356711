package io.sapphirestack.core.order;

/** Result of an operation on the {@link OrderLedger}. */
public sealed interface OrderLedgerResult {

    /**
     * The reservation is granted; its holder may dispatch the order once.
     *
     * @param nonce identifier of the reservation
     */
    record Granted(String nonce) implements OrderLedgerResult {}

    /**
     * Another reservation of the key is in force and the order has no outcome yet.
     *
     * @param entry entry of the key
     */
    record Reserved(OrderEntry entry) implements OrderLedgerResult {}

    /**
     * The reservation was released; the order has not been executed.
     *
     * @param bodyHash hash of the request body of the reservation, empty if unknown
     */
    record Released(String bodyHash) implements OrderLedgerResult {}

    /**
     * The order was executed.
     *
     * @param entry entry of the key with the response
     */
    record Done(OrderEntry entry) implements OrderLedgerResult {}

    /** The key was used earlier with another request body. */
    record KeyReused() implements OrderLedgerResult {}

    /** The ledger is full; nothing was stored. */
    record LedgerFull() implements OrderLedgerResult {}

    /** The ledger has no entry for the key. */
    record NotFound() implements OrderLedgerResult {}
}

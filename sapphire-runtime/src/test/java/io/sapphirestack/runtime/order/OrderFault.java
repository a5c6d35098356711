package io.sapphirestack.runtime.order;

/** Faults that a simulation of orders can inject. */
enum OrderFault {
    /** A command to the control log or its reply is lost. */
    CONTROL_LOST,
    /** The control log applies a command after its timeout, or a duplicate of it later. */
    CONTROL_LATE,
    /** A connection cannot be established. */
    CONNECT_FAILED,
    /** An endpoint responds that an order was not executed. */
    NOT_EXECUTED,
    /** A request to an endpoint is lost after a byte was sent. */
    REQUEST_LOST,
    /** An endpoint executes an order and its response is lost. */
    RESPONSE_LOST,
    /** An endpoint executes an order after its connection was lost. */
    EXECUTED_LATE,
    /** An endpoint responds after the deadline of the caller. */
    RESPONSE_LATE,
    /**
     * The guard refuses immediately before the request is sent, because the configuration is stale.
     */
    STALE
}

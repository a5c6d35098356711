package io.sapphirestack.runtime.order;

/** Faults that a sequence of orders can meet. */
enum OrderFault {
    /** The control log loses a command or its answer. */
    CONTROL_LOST,
    /** The control log applies a command long after its timeout, or once more. */
    CONTROL_LATE,
    /** A connection cannot be made. */
    CONNECT_FAILED,
    /** An endpoint refuses an order as not run. */
    NOT_RUN,
    /** A request to an endpoint is lost after a byte was written. */
    REQUEST_LOST,
    /** An endpoint runs an order and its answer is lost. */
    ANSWER_LOST,
    /** An endpoint runs an order after its connection was lost. */
    RUN_LATE,
    /** An endpoint answers after the caller's deadline. */
    ANSWER_LATE,
    /** The guard refuses directly before the write. */
    STALE
}

package io.sapphirestack.core.error;

/** Whether an endpoint executed a refused or failed request. */
public enum ExecutionState {
    /** The request was not executed and never will be. */
    NO,
    /** The request was executed. */
    YES,
    /** The request may have been executed, or may still be executed. */
    UNKNOWN
}

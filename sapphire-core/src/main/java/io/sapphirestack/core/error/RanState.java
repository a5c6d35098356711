package io.sapphirestack.core.error;

/** Whether refused or failed work was executed by an endpoint. */
public enum RanState {
    /** The work was not executed and never will be. */
    NO,
    /** The work was executed. */
    YES,
    /** The work may have been executed or may still be. */
    UNKNOWN
}

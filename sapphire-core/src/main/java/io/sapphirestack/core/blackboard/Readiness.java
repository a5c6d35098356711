package io.sapphirestack.core.blackboard;

/** Lifecycle state of an instance; it decides whether new requests are admitted. */
public enum Readiness {
    /** Waits for the first confirmed configuration; admits no requests. */
    STARTING,
    /** Admits requests. */
    READY,
    /**
     * Is left out of the address list but still admits requests, because callers use its address
     * until they have read the list again.
     */
    LEAVING,
    /** Refuses new requests and completes those in flight. */
    DRAINING;

    /** Returns whether new requests are admitted in this state. */
    public boolean admitsRequests() {
        return this == READY || this == LEAVING;
    }
}

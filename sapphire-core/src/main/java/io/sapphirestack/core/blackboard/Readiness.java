package io.sapphirestack.core.blackboard;

/** Stage in the life of an instance. */
public enum Readiness {
    /** Waits for the first confirmed configuration. */
    STARTING,
    /** Admits work. */
    READY,
    /**
     * Is left out of the address list but still admits work, until callers have dropped its
     * address.
     */
    LEAVING,
    /** Refuses new work and finishes what is open. */
    DRAINING;

    /** Returns whether new work is admitted in this stage. */
    public boolean admitsWork() {
        return this == READY || this == LEAVING;
    }
}

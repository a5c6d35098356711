package io.sapphirestack.core.membership;

/** Stage in the life of an endpoint's process; it only advances. */
public enum EndpointPhase {
    /** Takes work. */
    SERVING,

    /** Finishes its work and takes no new work. */
    DRAINING,

    /** Has ended or is about to end. */
    GONE;

    /**
     * Returns the later of two stages, so that a late report never brings an endpoint back.
     *
     * @param other another stage
     * @return the one that comes later in the life of an endpoint
     */
    public EndpointPhase later(EndpointPhase other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Returns the stage with an ordinal read from the wire.
     *
     * @param ordinal ordinal; one that this version does not know counts as the last stage
     * @return the stage
     */
    static EndpointPhase ofOrdinal(int ordinal) {
        EndpointPhase[] all = values();
        return all[Math.max(0, Math.min(ordinal, all.length - 1))];
    }
}

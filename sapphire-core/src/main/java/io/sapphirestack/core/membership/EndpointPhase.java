package io.sapphirestack.core.membership;

/** Lifecycle phase of an endpoint's process. A process never returns to an earlier phase. */
public enum EndpointPhase {
    /** Accepts requests. */
    SERVING,

    /** Completes requests in flight and accepts no new ones. */
    DRAINING,

    /** The process has ended or is about to end. */
    GONE;

    /**
     * Returns the later of two phases. Merging with it prevents a delayed report from moving an
     * endpoint back to an earlier phase.
     *
     * @param other another phase
     * @return later phase
     */
    public EndpointPhase later(EndpointPhase other) {
        return compareTo(other) >= 0 ? this : other;
    }

    /**
     * Returns the phase for an ordinal from the wire.
     *
     * @param ordinal ordinal; one beyond the range known to this version maps to the last phase
     * @return the phase
     */
    static EndpointPhase ofOrdinal(int ordinal) {
        EndpointPhase[] all = values();
        return all[Math.max(0, Math.min(ordinal, all.length - 1))];
    }
}

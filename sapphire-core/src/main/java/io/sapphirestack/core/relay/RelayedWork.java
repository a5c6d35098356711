package io.sapphirestack.core.relay;

/**
 * What an endpoint does for a relayed request, weighed by how much it slows other work there. An
 * engine reads a prompt for about a second and holds up all streams beside it meanwhile; a running
 * stream costs a share of each step; a standby copy only takes memory.
 */
public enum RelayedWork {

    /** Standby copy of a stream that runs elsewhere. */
    COPY(1),

    /** Plain request, or a stream that has sent its first event here. */
    REQUEST(4),

    /** Stream whose prompt is being read. */
    PROMPT(12);

    private final int units;

    RelayedWork(int units) {
        this.units = units;
    }

    /** Returns the weight in units that can be added up. */
    public int units() {
        return units;
    }

    /**
     * Converts units to requests.
     *
     * @param units sum of weights
     * @return number of requests of the same weight
     */
    public static double toRequests(int units) {
        return (double) units / REQUEST.units;
    }
}

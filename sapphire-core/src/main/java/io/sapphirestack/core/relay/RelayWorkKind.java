package io.sapphirestack.core.relay;

/**
 * Kind of work that an endpoint does for a relayed request, weighted by how much it slows down
 * other work at the endpoint. Prefill of a prompt takes an engine about a second and delays all its
 * other streams; a running stream takes a share of each decoding step; a standby copy only takes
 * memory.
 */
public enum RelayWorkKind {

    /** Standby copy of a stream that runs at another endpoint. */
    COPY(1),

    /** Plain request, or a stream after its first event from this endpoint. */
    REQUEST(4),

    /** Stream whose prompt is waiting for or in prefill. */
    PROMPT(12);

    private final int weight;

    RelayWorkKind(int weight) {
        this.weight = weight;
    }

    /** Returns the weight, in units that can be summed over all work at an endpoint. */
    public int weight() {
        return weight;
    }

    /**
     * Converts a weight to the equivalent number of plain requests.
     *
     * @param weight sum of weights
     * @return number of {@link #REQUEST}s with the same total weight
     */
    public static double toRequests(int weight) {
        return (double) weight / REQUEST.weight;
    }
}

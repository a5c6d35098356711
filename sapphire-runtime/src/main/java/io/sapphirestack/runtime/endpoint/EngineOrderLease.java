package io.sapphirestack.runtime.endpoint;

/**
 * Period during which this instance may give orders to engines, because it is the only control
 * leader.
 *
 * @param term term of the leader; if it has changed, another leader may have given orders in
 *     between
 * @param validUntilMs end of the lease on the monotonic clock, exclusive
 */
public record EngineOrderLease(long term, long validUntilMs) {
    /** Lease of an instance that is not the leader. */
    public static final EngineOrderLease NONE = new EngineOrderLease(-1, Long.MIN_VALUE);

    /**
     * Returns whether the lease is valid at a point in time.
     *
     * @param nowMs current time on the monotonic clock
     * @return whether the instance is the leader at that time
     */
    public boolean isValidAt(long nowMs) {
        return nowMs < validUntilMs;
    }
}

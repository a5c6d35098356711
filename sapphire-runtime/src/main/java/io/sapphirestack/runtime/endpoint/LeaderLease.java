package io.sapphirestack.runtime.endpoint;

/**
 * Period during which this instance is the only control leader.
 *
 * @param term number of the leadership; another number means that another leader may have acted in
 *     between
 * @param validUntilMs end of the lease on the monotonic clock, exclusive
 */
public record LeaderLease(long term, long validUntilMs) {
    /** Lease of an instance that does not lead. */
    public static final LeaderLease NONE = new LeaderLease(-1, Long.MIN_VALUE);

    /**
     * Tells whether the lease covers a point in time.
     *
     * @param nowMs current time on the monotonic clock
     * @return whether the instance leads
     */
    public boolean isValidAt(long nowMs) {
        return nowMs < validUntilMs;
    }
}

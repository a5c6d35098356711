package io.sapphirestack.core.blackboard;

/**
 * Period during which the published configuration is known to be in force.
 *
 * @param validUntilMs end of the lease on the monotonic clock, exclusive
 */
public record FreshnessLease(long validUntilMs) {

    /** Lease of an instance that was never confirmed. */
    public static final FreshnessLease NONE = new FreshnessLease(Long.MIN_VALUE);

    /**
     * Tells whether new work may be admitted or dispatched.
     *
     * @param nowMs current time on the monotonic clock
     * @return whether the lease is still valid
     */
    public boolean isValidAt(long nowMs) {
        return nowMs < validUntilMs;
    }

    /**
     * Returns the later of two leases, so that a delayed confirmation never shortens a lease.
     *
     * @param other lease to compare with
     * @return the lease that ends later
     */
    public FreshnessLease max(FreshnessLease other) {
        return other.validUntilMs > validUntilMs ? other : this;
    }
}

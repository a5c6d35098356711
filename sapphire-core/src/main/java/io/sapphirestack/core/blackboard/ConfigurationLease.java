package io.sapphirestack.core.blackboard;

/**
 * Lease on the published configuration: until it ends, the configuration is known to be in force.
 *
 * @param validUntilMs end of the lease on the monotonic clock in milliseconds, exclusive
 */
public record ConfigurationLease(long validUntilMs) {

    /** Expired lease, held by an instance whose configuration was never confirmed. */
    public static final ConfigurationLease NONE = new ConfigurationLease(Long.MIN_VALUE);

    /**
     * Returns whether new requests may be admitted and dispatched.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return whether the lease has not expired
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
    public ConfigurationLease max(ConfigurationLease other) {
        return other.validUntilMs > validUntilMs ? other : this;
    }
}

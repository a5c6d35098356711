package io.sapphirestack.core.replication;

/**
 * One period of leadership.
 *
 * @param term term of the leader
 * @param electedAtMs time of the election on the monotonic clock
 * @param leaseUntilMs end of the lease on the monotonic clock, exclusive
 */
public record LeaderTerm(long term, long electedAtMs, long leaseUntilMs) {

    /**
     * Tells whether the lease is still valid.
     *
     * @param nowMs current time on the monotonic clock
     * @return whether orders may be sent
     */
    public boolean isValidAt(long nowMs) {
        return nowMs < leaseUntilMs;
    }
}

package io.sapphirestack.core.replication;

/**
 * Leadership of this node in one term.
 *
 * @param term term of the leader
 * @param electedAtMs time at which the node was elected, in milliseconds of the monotonic clock
 * @param leaseUntilMs end of the lease (exclusive), in milliseconds of the monotonic clock
 */
public record LeaderTerm(long term, long electedAtMs, long leaseUntilMs) {

    /**
     * Returns whether the lease is still valid.
     *
     * @param nowMs current time in milliseconds of the monotonic clock
     * @return whether the lease is valid, so that the leader may send orders to engines
     */
    public boolean isLeaseValidAt(long nowMs) {
        return nowMs < leaseUntilMs;
    }
}

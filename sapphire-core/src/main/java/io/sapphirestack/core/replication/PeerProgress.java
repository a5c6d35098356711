package io.sapphirestack.core.replication;

import io.sapphirestack.core.time.TransferTime;

/** Replication progress of one peer as tracked by the leader. Not thread-safe. */
final class PeerProgress {

    final String voterId;
    final String address;

    /** Index of the next entry to send. */
    long nextIndex;

    /** Last entry that the peer has acknowledged as durable. */
    long matchIndex;

    /** Highest heartbeat round that the peer has acknowledged. */
    long ackedRound;

    /** Time of the last reply on the monotonic clock. */
    long lastAckMs;

    /** Time of the last learner request on the monotonic clock. */
    long lastRequestMs;

    /** Whether entries or a snapshot chunk were sent and not acknowledged yet. */
    boolean inFlight;

    private long inFlightSinceMs;

    /** Size of what was sent and not acknowledged yet, in bytes. */
    private long inFlightBytes;

    /** Index of the snapshot that is being sent, 0 for none. */
    long snapshotIndex;

    /** Offset of the next snapshot chunk, in bytes. */
    long snapshotOffset;

    PeerProgress(String voterId, String address, long nextIndex, long nowMs) {
        this.voterId = voterId;
        this.address = address;
        this.nextIndex = nextIndex;
        this.lastAckMs = nowMs;
        this.lastRequestMs = nowMs;
    }

    void markInFlight(long nowMs, long bytes) {
        inFlight = true;
        inFlightSinceMs = nowMs;
        inFlightBytes = bytes;
    }

    /**
     * Returns whether what was sent must be taken for lost.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @param replyTimeoutMs timeout of the reply to a small message, in milliseconds
     */
    boolean isOverdue(long nowMs, long replyTimeoutMs) {
        return inFlight
                && nowMs - inFlightSinceMs >= replyTimeoutMs + TransferTime.maxMs(inFlightBytes);
    }
}

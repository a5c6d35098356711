package io.sapphirestack.core.replication;

/** What the leader knows about one other node. Not thread-safe. */
final class PeerProgress {

    final String voterId;
    final String address;
    long nextIndex;
    long matchIndex;
    long ackedRound;
    long lastAckMs;
    long lastRequestMs;
    boolean inFlight;
    long inFlightSinceMs;

    /** Position of the snapshot that is being sent, 0 for none. */
    long snapshotIndex;

    long snapshotOffset;

    PeerProgress(String voterId, String address, long nextIndex, long nowMs) {
        this.voterId = voterId;
        this.address = address;
        this.nextIndex = nextIndex;
        this.lastAckMs = nowMs;
        this.lastRequestMs = nowMs;
    }

    void sent(long nowMs) {
        inFlight = true;
        inFlightSinceMs = nowMs;
    }
}

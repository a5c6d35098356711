package io.sapphirestack.core.replication;

import io.sapphirestack.core.time.MillisClock;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** State that is shared by the components of one node. Not thread-safe. */
final class NodeState {

    final ReplicationSettings settings;
    final MillisClock clock;
    final MillisClock wallClock;
    final RandomGenerator random;
    final ReplicationLog log;
    final PersistQueue queue;
    final String voterId;

    private String clusterId;
    private long term;
    private String votedFor;
    private long commitIndex;

    /** Time of the last change of term or vote on the monotonic clock, in milliseconds. */
    private long hardStateChangedMs;

    NodeState(
            ReplicationSettings settings,
            MillisClock clock,
            MillisClock wallClock,
            RandomGenerator random,
            StoredState stored) {
        this.settings = settings;
        this.clock = clock;
        this.wallClock = wallClock;
        this.random = random;
        this.log = new ReplicationLog(stored);
        this.queue = new PersistQueue(log);
        this.voterId = stored.hardState().voterId();
        this.clusterId = stored.hardState().clusterId();
        this.term = stored.hardState().term();
        this.votedFor = stored.hardState().votedFor();
        this.commitIndex = log.snapshotMeta().index();
    }

    String clusterId() {
        return clusterId;
    }

    long term() {
        return term;
    }

    String votedFor() {
        return votedFor;
    }

    long commitIndex() {
        return commitIndex;
    }

    boolean isVoter() {
        return log.membership().contains(voterId);
    }

    void advanceCommitIndex(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    void setClusterId(String id) {
        clusterId = id;
        saveHardState();
    }

    /**
     * Sets the term and the vote.
     *
     * @param newTerm new term, at least the current one
     * @param candidateId identity of the candidate that the node votes for, empty if none
     */
    void setTermAndVote(long newTerm, String candidateId) {
        if (newTerm < term) {
            throw new IllegalStateException(
                    "term must not decrease from " + term + " to " + newTerm);
        }
        term = newTerm;
        votedFor = candidateId;
        saveHardState();
    }

    /**
     * Appends an entry of the current term. Its time is the wall clock, but never lower than the
     * time of the entry before it.
     */
    ReplicationEntry appendLocal(byte[] command, Optional<ClusterMembership> membership) {
        long timeMs = Math.max(log.lastTimeMs(), wallClock.nowMs());
        ReplicationEntry entry =
                new ReplicationEntry(log.lastIndex() + 1, term, timeMs, command, membership);
        log.append(entry);
        return entry;
    }

    /** Wraps a message with the identity and addresses of the sender and the receiver. */
    VoterMessage envelope(String toVoter, String toAddress, ReplicationMessage message) {
        return new VoterMessage(
                clusterId, voterId, settings.address(), toVoter, toAddress, message);
    }

    long hardStateChangedMs() {
        return hardStateChangedMs;
    }

    private void saveHardState() {
        hardStateChangedMs = clock.nowMs();
        queue.onHardStateChanged(new HardState(voterId, clusterId, term, votedFor));
    }
}

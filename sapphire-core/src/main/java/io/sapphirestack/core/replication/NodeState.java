package io.sapphirestack.core.replication;

import io.sapphirestack.core.time.MillisClock;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** State that the parts of one node share. Not thread-safe. */
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

    void raiseCommitIndex(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    void adoptCluster(String id) {
        clusterId = id;
        saveHardState();
    }

    void raiseTerm(long next, String vote) {
        if (next < term) {
            throw new IllegalStateException("term must not decrease from " + term + " to " + next);
        }
        term = next;
        votedFor = vote;
        saveHardState();
    }

    /** Appends an entry of the current term with a time that never decreases in the log. */
    ReplicationEntry appendLocal(byte[] command, Optional<ClusterMembership> membership) {
        long timeMs = Math.max(log.lastTimeMs(), wallClock.nowMs());
        ReplicationEntry entry =
                new ReplicationEntry(log.lastIndex() + 1, term, timeMs, command, membership);
        log.append(entry);
        return entry;
    }

    VoterMessage message(String toVoter, String toAddress, ReplicationMessage message) {
        return new VoterMessage(
                clusterId, voterId, settings.address(), toVoter, toAddress, message);
    }

    private void saveHardState() {
        queue.hardStateChanged(new HardState(voterId, clusterId, term, votedFor));
    }
}

package io.sapphirestack.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Collects what a node must make durable and holds back the messages that depend on it. Not
 * thread-safe.
 */
final class PersistQueue {

    private final ReplicationLog log;
    private final List<VoterMessage> ready = new ArrayList<>();
    private List<VoterMessage> waiting = new ArrayList<>();
    private List<VoterMessage> held = new ArrayList<>();

    private HardState hardState;
    private StoredSnapshot snapshot;
    private boolean discardLog;
    private long truncateFrom;

    /** Last entry that was put into a batch. */
    private long handedIndex;

    private long durableIndex;
    private long batchNumber;
    private boolean outstanding;
    private long outstandingIndex;
    private long outstandingTerm;

    PersistQueue(ReplicationLog log) {
        this.log = log;
        this.handedIndex = log.lastIndex();
        this.durableIndex = log.lastIndex();
    }

    void send(VoterMessage message) {
        ready.add(message);
    }

    /** Sends a message once everything that the node has decided so far is durable. */
    void sendWhenDurable(VoterMessage message) {
        waiting.add(message);
    }

    void hardStateChanged(HardState next) {
        hardState = next;
    }

    void truncated(long index) {
        if (index <= handedIndex) {
            truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
            handedIndex = index - 1;
        }
        durableIndex = Math.min(durableIndex, index - 1);
    }

    void compacted(StoredSnapshot next) {
        snapshot = next;
    }

    void installed(StoredSnapshot next) {
        snapshot = next;
        discardLog = true;
        truncateFrom = 0;
        handedIndex = next.meta().index();
        durableIndex = 0;
    }

    long durableIndex() {
        return durableIndex;
    }

    Optional<PersistBatch> takeBatch() {
        if (outstanding || !isDirty()) {
            return Optional.empty();
        }
        List<ReplicationEntry> entries =
                log.range(handedIndex + 1, log.lastIndex(), Integer.MAX_VALUE);
        PersistBatch batch =
                new PersistBatch(
                        ++batchNumber,
                        Optional.ofNullable(hardState),
                        Optional.ofNullable(snapshot),
                        discardLog,
                        truncateFrom,
                        entries);
        hardState = null;
        snapshot = null;
        discardLog = false;
        truncateFrom = 0;
        handedIndex = log.lastIndex();
        outstanding = true;
        outstandingIndex = log.lastIndex();
        outstandingTerm = log.lastTerm();
        held = waiting;
        waiting = new ArrayList<>();
        return Optional.of(batch);
    }

    void persisted(long number) {
        if (!outstanding || number != batchNumber) {
            throw new IllegalStateException("batch " + number + " is not outstanding");
        }
        outstanding = false;
        ready.addAll(held);
        held = new ArrayList<>();
        // A later truncation may have removed the entries of the batch again.
        if (log.termAt(outstandingIndex) == outstandingTerm && !discardLog) {
            durableIndex = Math.max(durableIndex, outstandingIndex);
        }
    }

    List<VoterMessage> drainMessages() {
        if (!outstanding && !isDirty()) {
            ready.addAll(waiting);
            waiting.clear();
        }
        List<VoterMessage> result = List.copyOf(ready);
        ready.clear();
        return result;
    }

    private boolean isDirty() {
        return hardState != null
                || snapshot != null
                || truncateFrom != 0
                || handedIndex < log.lastIndex();
    }
}

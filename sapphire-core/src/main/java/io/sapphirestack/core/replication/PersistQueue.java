package io.sapphirestack.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Collects changes that have to be made durable, and delays the messages that depend on them until
 * they are. At most one batch is outstanding at a time. Not thread-safe.
 */
final class PersistQueue {

    private final ReplicationLog log;

    /** Messages that may be sent now. */
    private final List<VoterMessage> readyMessages = new ArrayList<>();

    /** Messages that depend on changes that are not in a batch yet. */
    private List<VoterMessage> unbatchedMessages = new ArrayList<>();

    /** Messages that depend on the outstanding batch. */
    private List<VoterMessage> outstandingMessages = new ArrayList<>();

    private HardState hardState;
    private StoredSnapshot snapshot;
    private boolean discardLog;
    private long truncateFrom;

    /** Index of the last entry that was added to a batch. */
    private long lastBatchedIndex;

    /** Index of the last entry that is known to be durable. */
    private long durableIndex;

    /** Number of the last batch. */
    private long batchNumber;

    /** Whether the last batch was handed out and is not durable yet. */
    private boolean outstanding;

    /** Whether the outstanding batch contains a hard state. */
    private boolean outstandingHardState;

    private long outstandingIndex;
    private long outstandingTerm;

    PersistQueue(ReplicationLog log) {
        this.log = log;
        this.lastBatchedIndex = log.lastIndex();
        this.durableIndex = log.lastIndex();
    }

    void send(VoterMessage message) {
        readyMessages.add(message);
    }

    /** Sends a message as soon as all changes made so far are durable. */
    void sendWhenDurable(VoterMessage message) {
        unbatchedMessages.add(message);
    }

    void onHardStateChanged(HardState next) {
        hardState = next;
    }

    void onTruncated(long index) {
        if (index <= lastBatchedIndex) {
            truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
            lastBatchedIndex = index - 1;
        }
        durableIndex = Math.min(durableIndex, index - 1);
    }

    void onCompacted(StoredSnapshot next) {
        snapshot = next;
    }

    void onSnapshotInstalled(StoredSnapshot next) {
        snapshot = next;
        discardLog = true;
        truncateFrom = 0;
        lastBatchedIndex = next.meta().index();
        durableIndex = 0;
    }

    /** Returns whether the current term and vote are durable. */
    boolean isHardStateDurable() {
        return hardState == null && !outstandingHardState;
    }

    long durableIndex() {
        return durableIndex;
    }

    Optional<PersistBatch> takeBatch() {
        if (outstanding || !hasChanges()) {
            return Optional.empty();
        }
        List<ReplicationEntry> entries =
                log.range(lastBatchedIndex + 1, log.lastIndex(), Integer.MAX_VALUE);
        PersistBatch batch =
                new PersistBatch(
                        ++batchNumber,
                        Optional.ofNullable(hardState),
                        Optional.ofNullable(snapshot),
                        discardLog,
                        truncateFrom,
                        entries);
        outstandingHardState = hardState != null;
        hardState = null;
        snapshot = null;
        discardLog = false;
        truncateFrom = 0;
        lastBatchedIndex = log.lastIndex();
        outstanding = true;
        outstandingIndex = log.lastIndex();
        outstandingTerm = log.lastTerm();
        outstandingMessages = unbatchedMessages;
        unbatchedMessages = new ArrayList<>();
        return Optional.of(batch);
    }

    void onPersisted(long number) {
        if (!outstanding || number != batchNumber) {
            throw new IllegalStateException("batch " + number + " is not outstanding");
        }
        outstanding = false;
        outstandingHardState = false;
        readyMessages.addAll(outstandingMessages);
        outstandingMessages = new ArrayList<>();
        // The entries of the batch may have been truncated after it was taken.
        if (log.termAt(outstandingIndex) == outstandingTerm && !discardLog) {
            durableIndex = Math.max(durableIndex, outstandingIndex);
        }
    }

    List<VoterMessage> drainMessages() {
        if (!outstanding && !hasChanges()) {
            readyMessages.addAll(unbatchedMessages);
            unbatchedMessages.clear();
        }
        List<VoterMessage> result = List.copyOf(readyMessages);
        readyMessages.clear();
        return result;
    }

    private boolean hasChanges() {
        return hardState != null
                || snapshot != null
                || truncateFrom != 0
                || lastBatchedIndex < log.lastIndex();
    }
}

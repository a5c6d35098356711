package io.sapphirestack.runtime.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.control.ControlCodec;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlSnapshot;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ValidatedCommand;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.ClusterMembership;
import io.sapphirestack.core.replication.LogStore;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.PersistBatch;
import io.sapphirestack.core.replication.ReadResult;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.ReplicationNode;
import io.sapphirestack.core.replication.StoredSnapshot;
import io.sapphirestack.core.replication.VoterMessage;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Connects the replicated log to its storage and to the state machine. Not thread-safe; used on the
 * voter thread only, while the storage is written on a thread of its own.
 */
final class VoterCore {

    private static final Logger LOG = Logger.getLogger(VoterCore.class);

    /**
     * Minimum size of the log entries since the last snapshot after which a new snapshot replaces
     * them. If the last snapshot was larger, its size is the threshold.
     */
    private static final long MIN_SNAPSHOT_LOG_BYTES = 4 * 1024 * 1024;

    private final ReplicationNode node;
    private final LogStore store;
    private final RecordSpecResolver resolver;
    private final Executor storageExecutor;
    private final Executor snapshotExecutor;
    private final Consumer<Runnable> voterThread;
    private final Consumer<List<VoterMessage>> sender;
    private final AppliedListener listener;
    private final ControlCodec codec = new ControlCodec(new ObjectMapper(new MessagePackFactory()));
    private final ControlState state = new ControlState();
    private long logBytes;
    private long lastSnapshotBytes;
    private boolean snapshotRunning;
    private Optional<Throwable> storageFailure = Optional.empty();

    VoterCore(
            ReplicationNode node,
            LogStore store,
            RecordSpecResolver resolver,
            Executor storageExecutor,
            Executor snapshotExecutor,
            Consumer<Runnable> voterThread,
            Consumer<List<VoterMessage>> sender,
            AppliedListener listener) {
        this.node = node;
        this.store = store;
        this.resolver = resolver;
        this.storageExecutor = storageExecutor;
        this.snapshotExecutor = snapshotExecutor;
        this.voterThread = voterThread;
        this.sender = sender;
        this.listener = listener;
    }

    ReplicationNode node() {
        return node;
    }

    ControlState state() {
        return state;
    }

    OptionalLong propose(ControlCommand command) {
        return node.propose(codec.encode(ValidatedCommand.validate(command, resolver)));
    }

    /**
     * Sends and applies all pending messages and entries, and hands the next batch to the storage
     * unless one is being written. All entries that arrive meanwhile form the batch after it.
     *
     * @throws LogStoreException if an earlier batch could not be written
     */
    void processPending() throws LogStoreException {
        throwStorageFailure();
        // Entries are sent to the followers before the local sync, so that all voters sync in
        // parallel.
        sender.accept(node.drainMessages());
        node.takeBatch().ifPresent(this::persistInBackground);
        applyCommitted();
        sender.accept(node.drainMessages());
    }

    /**
     * Writes a batch on another thread. A disk that takes long must delay neither the heartbeats of
     * a leader nor the elections.
     */
    private void persistInBackground(PersistBatch batch) {
        storageExecutor.execute(
                () -> {
                    Optional<Throwable> failure = persist(batch);
                    voterThread.accept(() -> onPersisted(batch, failure));
                });
    }

    private Optional<Throwable> persist(PersistBatch batch) {
        try {
            store.persist(batch);
            return Optional.empty();
        } catch (LogStoreException | RuntimeException | Error e) {
            return Optional.of(e);
        }
    }

    private void onPersisted(PersistBatch batch, Optional<Throwable> failure) {
        storageFailure = failure;
        if (failure.isEmpty()) {
            node.onPersisted(batch.number());
        }
    }

    private void throwStorageFailure() throws LogStoreException {
        Throwable failure = storageFailure.orElse(null);
        if (failure instanceof LogStoreException storageException) {
            throw storageException;
        } else if (failure instanceof RuntimeException runtimeException) {
            throw runtimeException;
        } else if (failure instanceof Error error) {
            throw error;
        }
    }

    List<ReadResult> takeReadResults() {
        return node.takeReadResults();
    }

    private void applyCommitted() {
        node.takeSnapshotToRestore().ifPresent(this::restore);
        for (ReplicationEntry entry : node.takeCommitted()) {
            logBytes += entry.sizeBytes();
            if (entry.command().length == 0) {
                state.applyVoters(
                        entry.index(),
                        entry.timeMs(),
                        entry.membership().map(ClusterMembership::voters));
                continue;
            }
            ValidatedCommand command = codec.decodeCommand(entry.command());
            ControlResult result = state.apply(entry.index(), entry.timeMs(), command);
            listener.applied(entry, result);
        }
        if (!snapshotRunning && logBytes >= Math.max(MIN_SNAPSHOT_LOG_BYTES, lastSnapshotBytes)) {
            startSnapshot();
        }
    }

    private void restore(StoredSnapshot stored) {
        ControlSnapshot snapshot = codec.decodeSnapshot(stored.data());
        state.restore(snapshot, node.clusterId());
        lastSnapshotBytes = stored.data().length;
        logBytes = 0;
    }

    /**
     * Encodes the snapshot on another thread, because that takes longer than a heartbeat interval
     * when the order ledger is full.
     */
    private void startSnapshot() {
        snapshotRunning = true;
        logBytes = 0;
        ControlSnapshot snapshot = state.snapshot(node.clusterId());
        snapshotExecutor.execute(
                () -> {
                    Optional<byte[]> data = encode(snapshot);
                    voterThread.accept(() -> onSnapshotEncoded(snapshot.index(), data));
                });
    }

    /** Returns an empty result after a failure, so that a later snapshot is tried again. */
    private Optional<byte[]> encode(ControlSnapshot snapshot) {
        try {
            return Optional.of(codec.encode(snapshot));
        } catch (RuntimeException | Error e) {
            LOG.errorf(
                    e,
                    "SAP1007 failed to encode the snapshot at entry %s; the log is kept",
                    snapshot.index());
            return Optional.empty();
        }
    }

    private void onSnapshotEncoded(long index, Optional<byte[]> data) {
        snapshotRunning = false;
        if (data.isPresent()) {
            lastSnapshotBytes = data.get().length;
            node.compact(index, data.get());
        }
    }

    /** Receives the result of each applied command. */
    @FunctionalInterface
    interface AppliedListener {
        void applied(ReplicationEntry entry, ControlResult result);
    }
}

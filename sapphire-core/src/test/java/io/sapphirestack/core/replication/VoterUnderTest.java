package io.sapphirestack.core.replication;

import io.sapphirestack.core.control.ControlCodec;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.ValidatedCommand;
import io.sapphirestack.core.record.RecordSpecResolver;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/** One voter with its storage, its state machine and its pending commands. */
final class VoterUnderTest {

    private static final ControlCodec CODEC = new ControlCodec();
    private static final RecordSpecResolver RESOLVER = new RecordSpecResolver();

    final String address;
    private final List<String> addresses;
    private final Random random;
    private final ControlOracle oracle;
    private final long[] nowMs;
    private final long wallSkewMs;

    /**
     * Source of the seeds of nodes. Separate from the random numbers of the network faults, which
     * each action seeds again.
     */
    private final Random nodeSeeds;

    private int storeCount;
    private MemoryLogStore store;
    private ReplicationNode node;
    private ControlState state;

    /** Batch that was taken from the node and is not durable yet. */
    private Optional<PersistBatch> unsyncedBatch = Optional.empty();

    private final Map<Long, PendingCommand> pendingCommands = new HashMap<>();
    private long nextReadId;
    boolean paused;

    VoterUnderTest(
            String address,
            List<String> addresses,
            Random random,
            ControlOracle oracle,
            long[] nowMs) {
        this.address = address;
        this.addresses = addresses;
        this.random = random;
        this.oracle = oracle;
        this.nowMs = nowMs;
        this.wallSkewMs = random.nextInt(10_000);
        this.nodeSeeds = new Random(address.hashCode());
        loseDisk();
        start();
    }

    boolean isRunning() {
        return node != null;
    }

    boolean isActive() {
        return node != null && !paused;
    }

    ReplicationNode node() {
        return node;
    }

    ControlState state() {
        return state;
    }

    String voterId() {
        return store.voterId();
    }

    void start() {
        ReplicationSettings settings =
                new ReplicationSettings(
                        address,
                        addresses,
                        300,
                        600,
                        100,
                        1_000,
                        300,
                        200,
                        ReplicationSettings.VoterPolicy.fixedVoters(addresses));
        node =
                new ReplicationNode(
                        settings,
                        () -> nowMs[0],
                        () -> nowMs[0] + wallSkewMs,
                        new Random(nodeSeeds.nextLong()),
                        store.load());
        state = new ControlState();
        paused = false;
        processOutputs();
    }

    void crash() {
        unsyncedBatch.ifPresent(batch -> store.persistPartially(batch, random));
        unsyncedBatch = Optional.empty();
        pendingCommands.clear();
        node = null;
        state = null;
    }

    void loseDisk() {
        crash();
        store = new MemoryLogStore(address + "-" + ++storeCount);
    }

    void sync() {
        if (unsyncedBatch.isPresent()) {
            PersistBatch batch = unsyncedBatch.get();
            unsyncedBatch = Optional.empty();
            store.persist(batch);
            node.onPersisted(batch.number());
            processOutputs();
        }
    }

    void receive(VoterMessage message) {
        node.receive(message);
        processOutputs();
    }

    void tick() {
        node.tick();
        processOutputs();
        node.leadership().ifPresent(term -> oracle.checkLeader(address, term, nowMs[0]));
    }

    boolean submit(ControlCommand command) {
        OptionalLong index =
                node.propose(CODEC.encode(ValidatedCommand.validate(command, RESOLVER)));
        index.ifPresent(
                value -> pendingCommands.put(value, new PendingCommand(node.term(), command)));
        processOutputs();
        return index.isPresent();
    }

    void read() {
        oracle.onReadStarted(address, ++nextReadId);
        node.requestRead(nextReadId);
        processOutputs();
    }

    void compact() {
        if (node.snapshotIndex() < state.index()) {
            node.compact(state.index(), CODEC.encode(state.snapshot(node.clusterId())));
            processOutputs();
        }
    }

    List<VoterMessage> drainMessages() {
        return node.drainMessages();
    }

    /** Processes the outputs of the node. A batch is taken immediately and synced later. */
    private void processOutputs() {
        if (unsyncedBatch.isEmpty()) {
            unsyncedBatch = node.takeBatch();
        }
        node.takeSnapshotToRestore()
                .ifPresent(
                        snapshot ->
                                state.restore(
                                        CODEC.decodeSnapshot(snapshot.data()), node.clusterId()));
        for (ReplicationEntry entry : node.takeCommitted()) {
            apply(entry);
        }
        for (ReadResult result : node.takeReadResults()) {
            oracle.onReadEnded(address, result);
        }
    }

    private void apply(ReplicationEntry entry) {
        oracle.onCommitted(address, entry);
        if (entry.command().length == 0) {
            state.applyVoters(
                    entry.index(), entry.timeMs(), entry.membership().map(m -> m.voters()));
            return;
        }
        ControlResult result =
                state.apply(entry.index(), entry.timeMs(), CODEC.decodeCommand(entry.command()));
        PendingCommand command = pendingCommands.remove(entry.index());
        if (command != null && command.term() == entry.term()) {
            oracle.onResult(command.command(), result);
        }
    }

    private record PendingCommand(long term, ControlCommand command) {}
}

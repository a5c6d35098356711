package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.LogStore;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.ReadResult;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.ReplicationNode;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.replication.VoterMessage;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Runs one voter of the control log. A single thread runs the replicated log and the state machine.
 * All requests that are queued during a disk sync are persisted together by the next sync.
 *
 * <p>If the storage fails, the voter stops, because it no longer knows which entries that it
 * acknowledged are durable. Thread-safe.
 */
public final class ControlService {

    private static final Logger LOG = Logger.getLogger(ControlService.class);

    private static final long TICK_MS = 10;
    private static final long FORWARD_TIMEOUT_MS = 1_000;

    /** Maximum duration of a long poll, and so of the interval between two heartbeats. */
    private static final long MAX_WATCH_MS = 500;

    /**
     * After a longer pause the eviction timeouts start again: the voter missed heartbeats itself.
     */
    private static final long MAX_LOOP_PAUSE_MS = 500;

    private final ReplicationSettings settings;
    private final LogStore store;
    private final PeerTransport transport;
    private final MillisClock clock;
    private final MillisClock wallClock;
    private final RandomGenerator random;
    private final RecordSpecResolver resolver;
    private final DefaultLeaderLease lease;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final ExecutorService voterExecutor;
    private final ExecutorService snapshotExecutor;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final InstanceMonitor monitor = new InstanceMonitor();
    private final SubmitTracker submitTracker = new SubmitTracker();
    private final Map<Long, ReadCallback> pendingReads = new HashMap<>();
    private volatile boolean running;
    private VoterCore core;
    private WatchTracker watchTracker;
    private long nextReadId;
    private long lastLoopMs;
    private boolean wasLeading;

    /**
     * Creates a voter and registers its message handlers; {@link #start()} runs it.
     *
     * @param settings addresses of the voters and timeouts
     * @param store durable storage, not loaded yet; closed by {@link #stop()}
     * @param transport sends requests to other voters
     * @param registry registry for the message handlers
     * @param clock monotonic clock
     * @param wallClock wall clock for the timestamps of log entries
     * @param random source of randomness, for example for election timeouts
     * @param resolver validates the records in submitted commands
     */
    public ControlService(
            ReplicationSettings settings,
            LogStore store,
            PeerTransport transport,
            PeerHandlerRegistry registry,
            MillisClock clock,
            MillisClock wallClock,
            RandomGenerator random,
            RecordSpecResolver resolver) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.store = Objects.requireNonNull(store, "store");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.random = Objects.requireNonNull(random, "random");
        this.resolver = Objects.requireNonNull(resolver, "resolver");
        this.lease = new DefaultLeaderLease(clock);
        this.voterExecutor =
                Executors.newSingleThreadExecutor(DaemonThreads.namedFactory("control-voter"));
        this.snapshotExecutor =
                Executors.newSingleThreadExecutor(DaemonThreads.namedFactory("control-snapshot"));
        registry.register(ReplicationEnvelope.class, this::onEnvelope);
        registry.register(SubmitRequest.class, this::onSubmit);
        registry.register(WatchRequest.class, this::onWatch);
        registry.register(ConfirmRequest.class, this::onConfirm);
        registry.register(FleetRequest.class, this::onFleet);
        registry.register(ReportPeerRequest.class, this::onReportPeer);
    }

    /**
     * Loads the stored state and starts the voter thread.
     *
     * @throws LogStoreException if the storage is corrupt or in use; the voter is not started then
     */
    public void start() throws LogStoreException {
        ReplicationNode node =
                new ReplicationNode(settings, clock, wallClock, random, store.load());
        core =
                new VoterCore(
                        node,
                        store,
                        resolver,
                        snapshotExecutor,
                        queue::add,
                        new VoterMessageSender(transport),
                        this::onApplied);
        watchTracker = new WatchTracker(core.state());
        lastLoopMs = clock.nowMs();
        running = true;
        LOG.infof("SAP1002 starting voter %s at %s", node.voterId(), settings.address());
        voterExecutor.execute(this::runLoop);
    }

    /** Returns whether the voter thread is running. */
    public boolean isRunning() {
        return running;
    }

    /** Returns the leader lease of this voter. */
    public LeaderLease leaderLease() {
        return lease;
    }

    /**
     * Returns whether this node is in the current voter set, unlike a learner or an empty node.
     *
     * @return future that completes with false if the voter has stopped
     */
    public CompletableFuture<Boolean> isVoter() {
        return readState(false, () -> core.node().membership().contains(core.node().voterId()));
    }

    /**
     * Transfers the leadership to another voter, before a planned stop.
     *
     * @return future with whether this voter does not lead or has asked another one to take over
     */
    public CompletableFuture<Boolean> transferLeadership() {
        return readState(
                false,
                () -> core.node().leadership().isEmpty() || core.node().transferLeadership());
    }

    /**
     * Stops the voter thread and closes the storage.
     *
     * @return future that completes when the storage is closed
     */
    public CompletableFuture<Void> stop() {
        if (core == null) {
            return CompletableFuture.completedFuture(null);
        }
        running = false;
        voterExecutor.shutdown();
        snapshotExecutor.shutdown();
        return stopped;
    }

    /**
     * Returns the current voter set.
     *
     * @return future with the voters, no addresses if the voter has stopped or has no cluster
     */
    public CompletableFuture<FindVotersRequest.Voters> voters() {
        return readState(
                new FindVotersRequest.Voters(0, List.of()),
                () ->
                        new FindVotersRequest.Voters(
                                core.state().index(),
                                List.copyOf(core.node().membership().voters().values())));
    }

    private <T> CompletableFuture<T> readState(T whenStopped, Supplier<T> supplier) {
        return onVoterThread(whenStopped, reply -> reply.complete(supplier.get()));
    }

    private void runLoop() {
        try {
            List<Runnable> tasks = new ArrayList<>();
            long nextTickMs = clock.nowMs();
            while (running) {
                long waitMs = Math.max(0, nextTickMs - clock.nowMs());
                Runnable firstTask = queue.poll(waitMs, TimeUnit.MILLISECONDS);
                if (firstTask != null) {
                    tasks.add(firstTask);
                    queue.drainTo(tasks);
                }
                tasks.forEach(Runnable::run);
                tasks.clear();
                if (clock.nowMs() >= nextTickMs) {
                    core.node().tick();
                    nextTickMs = clock.nowMs() + TICK_MS;
                    proposeEvictions();
                }
                core.processPending();
                completeDueReplies();
            }
        } catch (LogStoreException | RuntimeException e) {
            LOG.errorf(e, "SAP1003 voter at %s stopped after a failure", settings.address());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            shutDown();
        }
    }

    private void shutDown() {
        running = false;
        lease.publish(Optional.empty());
        submitTracker.failAll();
        watchTracker.failAll();
        pendingReads.values().forEach(callback -> callback.onResult(new ReadResult(0, false, 0)));
        pendingReads.clear();
        // The remaining tasks see that the voter is not running and reply accordingly.
        List<Runnable> remainingTasks = new ArrayList<>();
        queue.drainTo(remainingTasks);
        remainingTasks.forEach(Runnable::run);
        try {
            store.close();
        } catch (LogStoreException e) {
            LOG.warnf(e, "SAP1004 failed to close storage of voter at %s", settings.address());
        }
        stopped.complete(null);
    }

    private void completeDueReplies() {
        long nowMs = clock.nowMs();
        for (ReadResult result : core.takeReadResults()) {
            ReadCallback callback = pendingReads.remove(result.id());
            if (callback != null) {
                callback.onResult(result);
            }
        }
        watchTracker.completeDue(core.node().clusterId(), nowMs);
        submitTracker.completeOverdue(nowMs, core.state().index());
        // A leader that has committed in its term knows all entries committed earlier.
        boolean isReadyToLead = core.node().hasCommittedInTerm();
        lease.publish(isReadyToLead ? core.node().leadership() : Optional.empty());
        if (isReadyToLead && !wasLeading || nowMs - lastLoopMs > MAX_LOOP_PAUSE_MS) {
            monitor.restartObservation(nowMs);
        }
        wasLeading = isReadyToLead;
        lastLoopMs = nowMs;
    }

    private void proposeEvictions() {
        long nowMs = clock.nowMs();
        if (!wasLeading || nowMs - lastLoopMs > MAX_LOOP_PAUSE_MS || lease.current().isEmpty()) {
            return;
        }
        List<InstanceRef> evictions = monitor.takeDueEvictions(core.state().view(), nowMs);
        if (!evictions.isEmpty()) {
            LOG.infof("SAP1005 evicting %s: no heartbeat within the timeout", evictions);
            core.propose(
                    new ControlCommand.EvictInstances(
                            evictions,
                            "no heartbeat for " + InstanceMonitor.EVICT_AFTER_MS + " ms"));
        }
    }

    private void onApplied(ReplicationEntry entry, ControlResult result) {
        if (result instanceof ControlResult.Joined joined) {
            monitor.recordJoin(joined.ref(), clock.nowMs());
        }
        submitTracker.complete(entry, result, core.node().leaderAddress());
    }

    private CompletableFuture<ReplicationEnvelope.Accepted> onEnvelope(
            ReplicationEnvelope envelope) {
        if (running) {
            queue.add(() -> receive(envelope.message()));
        }
        return CompletableFuture.completedFuture(new ReplicationEnvelope.Accepted(running));
    }

    private void receive(VoterMessage message) {
        if (running) {
            core.node().receive(message);
        }
    }

    private CompletableFuture<SubmitReply> onSubmit(SubmitRequest request) {
        return onVoterThread(
                SubmitReply.notAppended(""),
                reply -> {
                    OptionalLong index = core.propose(request.command());
                    String leader = core.node().leaderAddress();
                    if (index.isPresent()) {
                        submitTracker.add(
                                index.getAsLong(),
                                core.node().term(),
                                clock.nowMs() + request.timeoutMs(),
                                reply);
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(SubmitReply.notAppended(leader));
                    } else {
                        SubmitRequest forwarded =
                                new SubmitRequest(request.command(), request.timeoutMs(), true);
                        transport
                                .call(leader, forwarded, request.timeoutMs())
                                .exceptionally(failure -> SubmitReply.unknown(leader))
                                .thenAccept(reply::complete);
                    }
                });
    }

    private CompletableFuture<WatchReply> onWatch(WatchRequest request) {
        return onVoterThread(
                WatchReply.unconfirmed(""),
                reply -> {
                    long nowMs = clock.nowMs();
                    long waitMs = Math.max(0, Math.min(MAX_WATCH_MS, request.waitMs()));
                    WatchTracker.Watch watch = watchTracker.add(request, nowMs + waitMs, reply);
                    if (core.node().leadership().isPresent()) {
                        monitor.recordHeartbeat(request.status(), nowMs);
                        confirmLeadership(watch::onConfirmed, watch::onRefused);
                        return;
                    }
                    String leader = core.node().leaderAddress();
                    if (leader.isEmpty()) {
                        watch.onRefused();
                        return;
                    }
                    transport
                            .call(leader, new ConfirmRequest(request.status()), MAX_WATCH_MS)
                            .exceptionally(failure -> new ConfirmRequest.Confirmation(false, 0))
                            .thenAccept(
                                    result ->
                                            queue.add(
                                                    () -> {
                                                        if (result.confirmed()) {
                                                            watch.onConfirmed(result.index());
                                                        } else {
                                                            watch.onRefused();
                                                        }
                                                    }));
                });
    }

    private CompletableFuture<ConfirmRequest.Confirmation> onConfirm(ConfirmRequest request) {
        ConfirmRequest.Confirmation refused = new ConfirmRequest.Confirmation(false, 0);
        return onVoterThread(
                refused,
                reply -> {
                    if (core.node().leadership().isPresent()) {
                        monitor.recordHeartbeat(request.status(), clock.nowMs());
                    }
                    confirmLeadership(
                            index -> reply.complete(new ConfirmRequest.Confirmation(true, index)),
                            () -> reply.complete(refused));
                });
    }

    /** Requests a confirmation of the leadership in a round that starts after this call. */
    private void confirmLeadership(LongConsumer confirmed, Runnable refused) {
        long id = ++nextReadId;
        pendingReads.put(
                id,
                result -> {
                    if (result.confirmed()) {
                        confirmed.accept(result.index());
                    } else {
                        refused.run();
                    }
                });
        core.node().requestRead(id);
    }

    private CompletableFuture<FleetRequest.FleetReply> onFleet(FleetRequest request) {
        return onVoterThread(
                new FleetRequest.FleetReply(Optional.empty(), ""),
                reply -> {
                    String leader = core.node().leaderAddress();
                    ControlState state = core.state();
                    if (lease.current().isPresent()) {
                        FleetStatus status =
                                new FleetStatus(
                                        leader,
                                        state.view().revision(),
                                        monitor.liveStatuses(state.view()));
                        reply.complete(new FleetRequest.FleetReply(Optional.of(status), leader));
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(new FleetRequest.FleetReply(Optional.empty(), leader));
                    } else {
                        transport
                                .call(leader, new FleetRequest(true), FORWARD_TIMEOUT_MS)
                                .exceptionally(
                                        failure ->
                                                new FleetRequest.FleetReply(
                                                        Optional.empty(), leader))
                                .thenAccept(reply::complete);
                    }
                });
    }

    private CompletableFuture<ReportPeerRequest.ReportPeerReply> onReportPeer(
            ReportPeerRequest request) {
        ReportPeerRequest.ReportPeerReply refused = new ReportPeerRequest.ReportPeerReply(false);
        return onVoterThread(
                refused,
                reply -> {
                    String leader = core.node().leaderAddress();
                    if (lease.current().isPresent()) {
                        reply.complete(
                                new ReportPeerRequest.ReportPeerReply(evictReported(request)));
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(refused);
                    } else {
                        ReportPeerRequest forwarded =
                                new ReportPeerRequest(request.reporter(), request.reported(), true);
                        transport
                                .call(leader, forwarded, FORWARD_TIMEOUT_MS)
                                .exceptionally(failure -> refused)
                                .thenAccept(reply::complete);
                    }
                });
    }

    private boolean evictReported(ReportPeerRequest request) {
        boolean accepted =
                monitor.acceptReport(
                        core.state().view(), request.reporter(), request.reported(), clock.nowMs());
        if (accepted) {
            LOG.infof(
                    "SAP1006 evicting %s: reported by %s", request.reported(), request.reporter());
            core.propose(
                    new ControlCommand.EvictInstances(
                            List.of(request.reported()), "reported by " + request.reporter()));
        }
        return accepted;
    }

    private <R> CompletableFuture<R> onVoterThread(R whenStopped, VoterTask<R> task) {
        CompletableFuture<R> reply = new CompletableFuture<>();
        if (!running) {
            reply.complete(whenStopped);
            return reply;
        }
        queue.add(
                () -> {
                    if (running) {
                        task.run(reply);
                    } else {
                        reply.complete(whenStopped);
                    }
                });
        return reply;
    }

    /** Task on the voter thread. It may complete the reply after it has returned. */
    @FunctionalInterface
    private interface VoterTask<R> {
        void run(CompletableFuture<R> reply);
    }

    /** Receives the result of a leadership confirmation. */
    @FunctionalInterface
    private interface ReadCallback {
        void onResult(ReadResult result);
    }
}

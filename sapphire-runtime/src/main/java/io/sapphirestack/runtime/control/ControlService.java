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
 * Voter of the control log. One thread runs the replicated log and the state machine; everything
 * that is queued while the last sync ran is covered by the next one.
 *
 * <p>If the storage fails, the voter stops answering, because it can no longer tell what it has
 * acknowledged. Thread-safe.
 */
public final class ControlService {

    private static final Logger LOG = Logger.getLogger(ControlService.class);

    private static final long TICK_MS = 10;
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Long polls end after this time, so that heartbeats come at least this often. */
    private static final long MAX_WATCH_MS = 500;

    /** A pause of the voter must not count as silence of the instances. */
    private static final long PAUSE_MS = 500;

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
    private final SubmitTracker submits = new SubmitTracker();
    private final Map<Long, ReadCallback> reads = new HashMap<>();
    private volatile boolean running;
    private VoterCore core;
    private WatchTracker watches;
    private long nextReadId;
    private long lastLoopMs;
    private boolean wasLeading;

    /**
     * Creates a voter and registers its handlers; {@link #start()} must be called then.
     *
     * @param settings addresses and times
     * @param store durable storage, not loaded yet; closed by {@link #stop()}
     * @param transport sends requests to other voters
     * @param registry takes the handlers
     * @param clock monotonic clock
     * @param wallClock clock that stamps entries
     * @param random source of randomness
     * @param resolver checks submitted records
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
        registry.register(ReportPeerRequest.class, this::onReport);
    }

    /**
     * Reads the storage and starts the voter's thread.
     *
     * @throws LogStoreException if the storage is damaged or in use; the voter must not start then
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
                        this::applied);
        watches = new WatchTracker(core.state());
        lastLoopMs = clock.nowMs();
        running = true;
        LOG.infof("SAP1002 voter %s starts at %s", node.voterId(), settings.address());
        voterExecutor.execute(this::run);
    }

    /** Returns whether the voter takes part in the control log. */
    public boolean isRunning() {
        return running;
    }

    /** Returns the leadership of this voter. */
    public LeaderLease leaderLease() {
        return lease;
    }

    /**
     * Returns whether this voter is one of the voters in force, and not empty or a learner.
     *
     * @return completes with false if the voter has stopped
     */
    public CompletableFuture<Boolean> isVoter() {
        return read(false, () -> core.node().membership().contains(core.node().voterId()));
    }

    /**
     * Passes the leadership to another voter before a planned stop.
     *
     * @return whether this voter does not lead or has asked another one to take over
     */
    public CompletableFuture<Boolean> transferLeadership() {
        return read(
                false,
                () -> core.node().leadership().isEmpty() || core.node().transferLeadership());
    }

    /**
     * Stops the voter's thread and closes the storage.
     *
     * @return completes when the storage is closed
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
     * Returns the voters in force.
     *
     * @return completes with no addresses if the voter has stopped or knows no cluster
     */
    public CompletableFuture<FindVotersRequest.Voters> voters() {
        return read(
                new FindVotersRequest.Voters(0, List.of()),
                () ->
                        new FindVotersRequest.Voters(
                                core.state().index(),
                                List.copyOf(core.node().membership().voters().values())));
    }

    private <T> CompletableFuture<T> read(T stopped, Supplier<T> value) {
        return onVoterThread(stopped, reply -> reply.complete(value.get()));
    }

    private void run() {
        try {
            List<Runnable> tasks = new ArrayList<>();
            long nextTickMs = clock.nowMs();
            while (running) {
                long waitMs = Math.max(0, nextTickMs - clock.nowMs());
                Runnable first = queue.poll(waitMs, TimeUnit.MILLISECONDS);
                if (first != null) {
                    tasks.add(first);
                    queue.drainTo(tasks);
                }
                tasks.forEach(Runnable::run);
                tasks.clear();
                if (clock.nowMs() >= nextTickMs) {
                    core.node().tick();
                    nextTickMs = clock.nowMs() + TICK_MS;
                    proposeEvictions();
                }
                core.process();
                answer();
            }
        } catch (LogStoreException | RuntimeException e) {
            LOG.errorf(e, "SAP1003 voter at %s stops", settings.address());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            shutDown();
        }
    }

    private void shutDown() {
        running = false;
        lease.publish(Optional.empty());
        submits.failAll();
        watches.failAll();
        reads.values().forEach(callback -> callback.done(new ReadResult(0, false, 0)));
        reads.clear();
        // Requests that arrived meanwhile see that the voter has stopped and answer so.
        List<Runnable> rest = new ArrayList<>();
        queue.drainTo(rest);
        rest.forEach(Runnable::run);
        try {
            store.close();
        } catch (LogStoreException e) {
            LOG.warnf(e, "SAP1004 storage of the voter at %s not closed", settings.address());
        }
        stopped.complete(null);
    }

    private void answer() {
        long now = clock.nowMs();
        for (ReadResult result : core.takeReads()) {
            ReadCallback callback = reads.remove(result.id());
            if (callback != null) {
                callback.done(result);
            }
        }
        watches.answerDue(core.node().clusterId(), now);
        submits.answerOverdue(now, core.state().index());
        // A leader knows everything earlier leaders committed once a read was possible.
        boolean leads = core.node().hasCommittedInTerm();
        lease.publish(leads ? core.node().leadership() : Optional.empty());
        if (leads && !wasLeading || now - lastLoopMs > PAUSE_MS) {
            monitor.restart(now);
        }
        wasLeading = leads;
        lastLoopMs = now;
    }

    private void proposeEvictions() {
        long now = clock.nowMs();
        if (!wasLeading || now - lastLoopMs > PAUSE_MS || lease.current().isEmpty()) {
            return;
        }
        List<InstanceRef> due = monitor.due(core.state().view(), now);
        if (!due.isEmpty()) {
            LOG.infof("SAP1005 evicting %s, no heartbeat", due);
            core.propose(
                    new ControlCommand.EvictInstances(
                            due, "no heartbeat for " + InstanceMonitor.EVICT_AFTER_MS + " ms"));
        }
    }

    private void applied(ReplicationEntry entry, ControlResult result) {
        if (result instanceof ControlResult.Joined joined) {
            monitor.joined(joined.ref(), clock.nowMs());
        }
        submits.applied(entry, result, core.node().leaderAddress());
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
                        submits.add(
                                index.getAsLong(),
                                core.node().term(),
                                clock.nowMs() + request.timeoutMs(),
                                reply);
                    } else if (request.forwarded()
                            || leader.isEmpty()
                            || leader.equals(settings.address())) {
                        reply.complete(SubmitReply.notAppended(leader));
                    } else {
                        SubmitRequest next =
                                new SubmitRequest(request.command(), request.timeoutMs(), true);
                        transport
                                .call(leader, next, request.timeoutMs())
                                .exceptionally(failure -> SubmitReply.unknown(leader))
                                .thenAccept(reply::complete);
                    }
                });
    }

    private CompletableFuture<WatchReply> onWatch(WatchRequest request) {
        return onVoterThread(
                WatchReply.unconfirmed(""),
                reply -> {
                    long now = clock.nowMs();
                    long waitMs = Math.max(0, Math.min(MAX_WATCH_MS, request.waitMs()));
                    WatchTracker.Watch watch = watches.add(request, now + waitMs, reply);
                    if (core.node().leadership().isPresent()) {
                        monitor.heartbeat(request.status(), now);
                        confirm(watch::confirmed, watch::refused);
                        return;
                    }
                    String leader = core.node().leaderAddress();
                    if (leader.isEmpty()) {
                        watch.refused();
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
                                                            watch.confirmed(result.index());
                                                        } else {
                                                            watch.refused();
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
                        monitor.heartbeat(request.status(), clock.nowMs());
                    }
                    confirm(
                            index -> reply.complete(new ConfirmRequest.Confirmation(true, index)),
                            () -> reply.complete(refused));
                });
    }

    /** Asks for a confirmation of the leadership that begins after this call. */
    private void confirm(LongConsumer confirmed, Runnable refused) {
        long id = ++nextReadId;
        reads.put(
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
                                .call(leader, new FleetRequest(true), CALL_TIMEOUT_MS)
                                .exceptionally(
                                        failure ->
                                                new FleetRequest.FleetReply(
                                                        Optional.empty(), leader))
                                .thenAccept(reply::complete);
                    }
                });
    }

    private CompletableFuture<ReportPeerRequest.ReportPeerReply> onReport(
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
                        ReportPeerRequest next =
                                new ReportPeerRequest(request.reporter(), request.reported(), true);
                        transport
                                .call(leader, next, CALL_TIMEOUT_MS)
                                .exceptionally(failure -> refused)
                                .thenAccept(reply::complete);
                    }
                });
    }

    private boolean evictReported(ReportPeerRequest request) {
        boolean accepted =
                monitor.acceptsReport(
                        core.state().view(), request.reporter(), request.reported(), clock.nowMs());
        if (accepted) {
            LOG.infof(
                    "SAP1006 evicting %s, reported by %s", request.reported(), request.reporter());
            core.propose(
                    new ControlCommand.EvictInstances(
                            List.of(request.reported()), "reported by " + request.reporter()));
        }
        return accepted;
    }

    private <R> CompletableFuture<R> onVoterThread(R whenStopped, Task<R> task) {
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

    /** Work on the voter's thread that completes a reply now or later. */
    @FunctionalInterface
    private interface Task<R> {
        void run(CompletableFuture<R> reply);
    }

    /** Takes the result of a read. */
    @FunctionalInterface
    private interface ReadCallback {
        void done(ReadResult result);
    }
}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.DamagedLogException;
import io.sapphirestack.core.replication.LogStore;
import io.sapphirestack.core.replication.LogStoreException;
import io.sapphirestack.core.replication.ReadResult;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.ReplicationNode;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.replication.VoterMessage;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.concurrent.RestartingThread;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
 * Runs the replicated log and the state machine of one voter on a single thread; its storage is
 * written on another one. All requests that are queued during a disk sync are persisted together by
 * the next sync.
 *
 * <p>A failure ends the run, because the voter no longer knows which of its entries are durable.
 * The next run opens the storage again and continues from what it contains, as a restarted process
 * does. Thread-safe, except for the methods that must be called on the voter thread.
 */
final class VoterLoop {

    private static final Logger LOG = Logger.getLogger(VoterLoop.class);
    private static final long TICK_MS = 10;

    /**
     * After a longer pause the eviction timeouts start again: the voter missed heartbeats itself.
     */
    private static final long MAX_LOOP_PAUSE_MS = 500;

    private final ReplicationSettings settings;
    private final Supplier<LogStore> storeFactory;
    private final PeerTransport transport;
    private final MillisClock clock;
    private final MillisClock wallClock;
    private final RandomGenerator random;
    private final RecordSpecResolver resolver;
    private final DefaultLeaderLease lease;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final ExecutorService storageExecutor =
            Executors.newSingleThreadExecutor(DaemonThreads.namedFactory("control-storage"));
    private final ExecutorService snapshotExecutor =
            Executors.newSingleThreadExecutor(DaemonThreads.namedFactory("control-snapshot"));
    private final InstanceMonitor monitor = new InstanceMonitor();
    private final SubmitTracker submitTracker = new SubmitTracker();
    private final Map<Long, ReadCallback> pendingReads = new HashMap<>();
    private final RestartingThread thread;

    /** Completed by the first attempt to load the storage, with the damage that it found. */
    private final CompletableFuture<Optional<DamagedLogException>> firstLoad =
            new CompletableFuture<>();

    private volatile boolean running;
    private VoterCore core;
    private WatchTracker watchTracker;
    private long nextReadId;
    private long lastLoopMs;
    private boolean wasLeading;

    /**
     * Creates a voter that does not run before {@link #start()}.
     *
     * @param settings addresses of the voters and timeouts
     * @param storeFactory opens the durable storage for a run, not loaded yet; the run closes it
     * @param transport sends requests to other voters
     * @param clock monotonic clock
     * @param wallClock wall clock for the timestamps of log entries
     * @param random source of randomness, for example for election timeouts
     * @param resolver validates the records in submitted commands
     */
    VoterLoop(
            ReplicationSettings settings,
            Supplier<LogStore> storeFactory,
            PeerTransport transport,
            MillisClock clock,
            MillisClock wallClock,
            RandomGenerator random,
            RecordSpecResolver resolver) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.storeFactory = Objects.requireNonNull(storeFactory, "storeFactory");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.random = Objects.requireNonNull(random, "random");
        this.resolver = Objects.requireNonNull(resolver, "resolver");
        this.lease = new DefaultLeaderLease(clock);
        this.thread = new RestartingThread("control-voter", this::runOnce, this::logFailure);
    }

    /**
     * Starts the voter and waits for the first attempt to load its storage. A failure of the disk
     * may pass, so the voter then tries again like after a later failure.
     *
     * @throws DamagedLogException if the content of the storage is damaged; the voter has ended
     */
    void start() throws DamagedLogException {
        thread.start();
        Optional<DamagedLogException> damage = firstLoad.join();
        if (damage.isPresent()) {
            stop();
            throw damage.get();
        }
    }

    /** Returns whether the storage is loaded and the voter takes part in the replicated log. */
    boolean isRunning() {
        return running;
    }

    LeaderLease lease() {
        return lease;
    }

    /** Ends the voter; the future completes when the storage is closed. */
    CompletableFuture<Void> stop() {
        thread.close();
        return thread.completion()
                .thenRun(
                        () -> {
                            storageExecutor.shutdown();
                            snapshotExecutor.shutdown();
                        });
    }

    /**
     * Runs a task on the voter thread.
     *
     * @param whenStopped reply if the voter is not running
     * @param task task that completes the reply, at once or later
     * @return future with the reply
     */
    <R> CompletableFuture<R> call(R whenStopped, VoterTask<R> task) {
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

    /** Runs a task on the voter thread, also in a later run of the voter. */
    void execute(Runnable task) {
        queue.add(task);
    }

    /** Hands a message of another voter to the replicated log; dropped if the voter stops. */
    void receive(VoterMessage message) {
        queue.add(
                () -> {
                    if (running) {
                        core.node().receive(message);
                    }
                });
    }

    /** Returns the replicated log and its state; only on the voter thread. */
    VoterCore core() {
        return core;
    }

    /** Returns the open long polls; only on the voter thread. */
    WatchTracker watchTracker() {
        return watchTracker;
    }

    /** Returns the submissions that wait for their result; only on the voter thread. */
    SubmitTracker submitTracker() {
        return submitTracker;
    }

    /** Returns the heartbeats of the instances; only on the voter thread. */
    InstanceMonitor monitor() {
        return monitor;
    }

    /**
     * Requests a confirmation of the leadership in a round that starts after this call; only on the
     * voter thread.
     */
    void confirmLeadership(LongConsumer confirmed, Runnable refused) {
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

    private void runOnce() throws LogStoreException, InterruptedException {
        LogStore store = storeFactory.get();
        try {
            load(store);
            firstLoad.complete(Optional.empty());
            runUntilStopped();
        } catch (DamagedLogException e) {
            firstLoad.complete(Optional.of(e));
            throw e;
        } finally {
            firstLoad.complete(Optional.empty());
            endRun();
            close(store);
        }
    }

    private void load(LogStore store) throws LogStoreException {
        ReplicationNode node =
                new ReplicationNode(settings, clock, wallClock, random, store.load());
        core =
                new VoterCore(
                        node,
                        store,
                        resolver,
                        storageExecutor,
                        snapshotExecutor,
                        queue::add,
                        new VoterMessageSender(transport),
                        this::onApplied);
        watchTracker = new WatchTracker(core.state());
        wasLeading = false;
        lastLoopMs = clock.nowMs();
        running = true;
        LOG.infof("SAP1002 starting voter %s at %s", node.voterId(), settings.address());
    }

    private void runUntilStopped() throws LogStoreException, InterruptedException {
        List<Runnable> tasks = new ArrayList<>();
        long nextTickMs = clock.nowMs();
        while (!thread.isClosing()) {
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
    }

    /** Closes the storage after the write that may still be running. */
    private void close(LogStore store) {
        CompletableFuture.runAsync(
                        () -> {
                            try {
                                store.close();
                            } catch (LogStoreException e) {
                                LOG.warnf(
                                        e,
                                        "SAP1004 failed to close storage of voter at %s",
                                        settings.address());
                            }
                        },
                        storageExecutor)
                .join();
    }

    private void logFailure(Throwable failure, long restartInMs) {
        LOG.errorf(
                failure,
                "SAP1003 voter at %s stopped after a failure; it starts again in %s ms",
                settings.address(),
                restartInMs);
    }

    /** Completes everything that waits for this run, so that callers can try another voter. */
    private void endRun() {
        running = false;
        lease.publish(Optional.empty());
        submitTracker.failAll();
        if (watchTracker != null) {
            watchTracker.failAll();
        }
        pendingReads.values().forEach(callback -> callback.onResult(new ReadResult(0, false, 0)));
        pendingReads.clear();
        // The remaining tasks see that the voter is not running and reply accordingly.
        List<Runnable> remainingTasks = new ArrayList<>();
        queue.drainTo(remainingTasks);
        remainingTasks.forEach(Runnable::run);
    }

    private void completeDueReplies() {
        long nowMs = clock.nowMs();
        for (ReadResult result : core.takeReadResults()) {
            ReadCallback callback = pendingReads.remove(result.id());
            if (callback != null) {
                callback.onResult(result);
            }
        }
        watchTracker.completeDue(core.node().clusterId(), core.node().leaderAddress(), nowMs);
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

    /** Task on the voter thread. It may complete the reply after it has returned. */
    @FunctionalInterface
    interface VoterTask<R> {
        void run(CompletableFuture<R> reply);
    }

    /** Receives the result of a leadership confirmation. */
    @FunctionalInterface
    private interface ReadCallback {
        void onResult(ReadResult result);
    }
}

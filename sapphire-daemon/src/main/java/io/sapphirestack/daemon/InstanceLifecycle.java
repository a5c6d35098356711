package io.sapphirestack.daemon;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.record.StopSpec;
import io.sapphirestack.core.record.StopTarget;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.control.ControlWatcher;
import io.sapphirestack.runtime.generation.GenerationService;
import io.sapphirestack.runtime.http.HttpFrontend;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.Closeable;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Owner of the {@code readiness} part: takes an instance from start over service to its planned
 * stop. Thread-safe.
 */
public final class InstanceLifecycle implements Closeable {

    /** Callers may keep an address for 2,000 ms, and their last request needs time to arrive. */
    static final long LEAVING_MS = 3_000;

    private static final EventLog LOG = EventLog.of(InstanceLifecycle.class);
    private static final long TICK_MS = 100;
    private static final long CONTROL_TIMEOUT_MS = 3_000;
    private static final String STOP_KIND = "stop";

    private final Blackboard blackboard;
    private final RecordSpecResolver specs;
    private final ControlClient control;
    private final ControlWatcher watcher;
    private final Optional<ControlService> voter;
    private final GenerationService generations;
    private final HttpFrontend frontend;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock;
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private ScheduledFuture<?> ticking;
    private boolean signalled;
    private boolean stopSubmitted;
    private boolean leaving;
    private long stopSinceMs;

    /**
     * Creates the life of an instance; nothing runs before {@link #start()}.
     *
     * @param blackboard shared state; the readiness part is owned by this object
     * @param specs typed view of records
     * @param control submits the stop that a signal asks for
     * @param watcher ends the membership
     * @param voter voter of this instance, which passes its leadership on
     * @param generations generations that a stop waits for
     * @param frontend connections that a stop waits for
     * @param scheduler runs the steps
     * @param clock monotonic clock
     */
    InstanceLifecycle(
            Blackboard blackboard,
            RecordSpecResolver specs,
            ControlClient control,
            ControlWatcher watcher,
            Optional<ControlService> voter,
            GenerationService generations,
            HttpFrontend frontend,
            ScheduledExecutorService scheduler,
            MillisClock clock) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.specs = Objects.requireNonNull(specs, "specs");
        this.control = Objects.requireNonNull(control, "control");
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.voter = Objects.requireNonNull(voter, "voter");
        this.generations = Objects.requireNonNull(generations, "generations");
        this.frontend = Objects.requireNonNull(frontend, "frontend");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Starts to follow the blackboard. */
    synchronized void start() {
        ticking =
                scheduler.scheduleWithFixedDelay(
                        this::tickSafely, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Plans the stop of this instance, as a termination signal does. */
    public synchronized void planStop() {
        if (!signalled) {
            signalled = true;
            LOG.info("SAP1303", "Planned stop was requested by a signal");
        }
    }

    /** Returns a future that completes when a planned stop is done and the process may end. */
    public CompletableFuture<Void> left() {
        return left;
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.error("SAP1304", e, "A step of the instance's life failed");
        }
    }

    private synchronized void tick() {
        Optional<InstanceRef> self = blackboard.self().read();
        Optional<StopSpec> stop = self.flatMap(this::plannedStop);
        if (signalled && stop.isEmpty() && !stopSubmitted && self.isPresent()) {
            submitStop(self.get());
        }
        boolean stopping = stop.isPresent() || signalled;
        Readiness now = blackboard.readiness().read();
        switch (now) {
            case STARTING -> tickStarting(self, stopping);
            case READY -> {
                if (stopping) {
                    beginLeaving();
                }
            }
            case LEAVING, DRAINING -> tickStopping(now, stop, stopping);
            default -> throw new IllegalStateException("unknown readiness " + now);
        }
    }

    private void tickStarting(Optional<InstanceRef> self, boolean stopping) {
        if (signalled && self.isEmpty()) {
            // It never joined, so there is nothing to hand over.
            finish();
        } else if (self.isPresent()
                && blackboard.freshness().read().isValidAt(clock.nowMs())
                && blackboard.control().read().isLive(self.get())) {
            if (stopping) {
                beginLeaving();
            } else {
                become(Readiness.READY);
                withdrawOldStop(self.get());
            }
        }
    }

    private void beginLeaving() {
        stopSinceMs = clock.nowMs();
        become(Readiness.LEAVING);
        voter.ifPresent(ControlService::transferLeadership);
    }

    private void tickStopping(Readiness now, Optional<StopSpec> stop, boolean stopping) {
        if (!stopping && !leaving) {
            LOG.info("SAP1305", "Planned stop was withdrawn");
            frontend.resume();
            become(Readiness.READY);
            return;
        }
        long sinceMs = clock.nowMs() - stopSinceMs;
        if (now == Readiness.LEAVING && sinceMs >= LEAVING_MS) {
            become(Readiness.DRAINING);
        }
        if (now == Readiness.DRAINING && !leaving) {
            frontend.drain();
            long maxWaitMs = stop.map(StopSpec::maxWaitMs).orElse(StopSpec.DEFAULT_MAX_WAIT_MS);
            boolean done =
                    generations.ownedRunning() == 0
                            && frontend.openRequests() == 0
                            && frontend.openConnections() == 0;
            if (done || sinceMs >= maxWaitMs) {
                leave(done);
            }
        }
    }

    private void leave(boolean done) {
        leaving = true;
        voter.ifPresent(ControlService::transferLeadership);
        LOG.info(
                "SAP1306",
                "Instance leaves the fleet",
                "ownedRunning",
                generations.ownedRunning(),
                "openConnections",
                frontend.openConnections(),
                "complete",
                done);
        Optional<InstanceRef> self = blackboard.self().read();
        watcher.leave(CONTROL_TIMEOUT_MS)
                .handle((ok, failure) -> failure)
                .thenCompose(failure -> deleteOwnStop(self))
                .whenComplete((ok, failure) -> finish());
    }

    private void finish() {
        left.complete(null);
    }

    private Optional<StopSpec> plannedStop(InstanceRef self) {
        return stopRecord(blackboard.control().read(), self)
                .filter(record -> appliesTo(record, self))
                .flatMap(specs::stop);
    }

    private static Optional<ConfigRecord> stopRecord(ControlView view, InstanceRef self) {
        return view.record(stopKey(self));
    }

    private static RecordKey stopKey(InstanceRef self) {
        return new RecordKey(STOP_KIND, StopTarget.INSTANCE.namePrefix() + self.id());
    }

    private static boolean appliesTo(ConfigRecord record, InstanceRef self) {
        long incarnation = incarnationOf(record);
        return incarnation == 0 || incarnation == self.incarnation();
    }

    private static long incarnationOf(ConfigRecord record) {
        return record.body().path("incarnation").asLong(0);
    }

    // Other instances leave this one out of their address lists because of the record. It names the
    // incarnation, so that it does not stop the next start if it is left behind.
    private void submitStop(InstanceRef self) {
        stopSubmitted = true;
        long expected =
                stopRecord(blackboard.control().read(), self)
                        .map(ConfigRecord::revision)
                        .orElse(0L);
        ObjectNode body =
                JsonNodeFactory.instance.objectNode().put("incarnation", self.incarnation());
        control.submit(
                        new ControlCommand.PutRecord(
                                UUID.randomUUID().toString(),
                                "instance:" + self.id(),
                                stopKey(self),
                                expected,
                                1,
                                1,
                                body,
                                false),
                        CONTROL_TIMEOUT_MS)
                .whenComplete(
                        (result, failure) ->
                                LOG.info(
                                        "SAP1307",
                                        "Own stop was submitted",
                                        "result",
                                        failure == null ? result : failure));
    }

    private CompletableFuture<Void> deleteOwnStop(Optional<InstanceRef> self) {
        Optional<ConfigRecord> own =
                self.flatMap(ref -> stopRecord(blackboard.control().read(), ref))
                        .filter(record -> incarnationOf(record) != 0);
        return own.map(this::delete).orElse(CompletableFuture.completedFuture(null));
    }

    private void withdrawOldStop(InstanceRef self) {
        stopRecord(blackboard.control().read(), self)
                .filter(record -> incarnationOf(record) != 0)
                .filter(record -> incarnationOf(record) < self.incarnation())
                .ifPresent(this::delete);
    }

    private CompletableFuture<Void> delete(ConfigRecord record) {
        return control.submit(
                        new ControlCommand.DeleteRecord(
                                UUID.randomUUID().toString(),
                                record.operator(),
                                record.key(),
                                record.revision(),
                                false),
                        CONTROL_TIMEOUT_MS)
                .handle((result, failure) -> null);
    }

    private void become(Readiness next) {
        blackboard.readiness().publish(next);
        LOG.info("SAP1308", "Readiness changed", "readiness", next);
    }

    @Override
    public synchronized void close() {
        if (ticking != null) {
            ticking.cancel(false);
        }
    }
}

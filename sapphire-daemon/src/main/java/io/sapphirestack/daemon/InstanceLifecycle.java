package io.sapphirestack.daemon;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.record.StopSpec;
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

    private final Blackboard blackboard;
    private final RecordSpecResolver specs;
    private final PlannedStopRecord ownStop;
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
        this.ownStop =
                new PlannedStopRecord(control, blackboard.control()::read, CONTROL_TIMEOUT_MS);
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
                && blackboard.configurationLease().read().isValidAt(clock.nowMs())
                && blackboard.control().read().isLive(self.get())) {
            if (stopping) {
                beginLeaving();
            } else {
                become(Readiness.READY);
                ownStop.deleteObsolete(self.get());
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
                    generations.countOwnedRunning() == 0
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
                generations.countOwnedRunning(),
                "openConnections",
                frontend.openConnections(),
                "complete",
                done);
        Optional<InstanceRef> self = blackboard.self().read();
        watcher.leave(CONTROL_TIMEOUT_MS)
                .handle((ok, failure) -> failure)
                .thenCompose(failure -> ownStop.delete(self))
                .whenComplete((ok, failure) -> finish());
    }

    private void finish() {
        left.complete(null);
    }

    private Optional<StopSpec> plannedStop(InstanceRef self) {
        return PlannedStopRecord.find(blackboard.control().read(), self).flatMap(specs::stop);
    }

    private void submitStop(InstanceRef self) {
        stopSubmitted = true;
        ownStop.submit(self);
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

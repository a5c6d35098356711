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
 * Moves an instance from startup through service to its planned stop, and is the only writer of the
 * {@code readiness} part of the blackboard. Thread-safe.
 */
public final class InstanceLifecycle implements Closeable {

    /**
     * Time in {@link Readiness#LEAVING}: callers may use a cached address for 2,000 ms, and their
     * last request needs time to arrive.
     */
    static final long LEAVING_PERIOD_MS = 3_000;

    private static final EventLog LOG = EventLog.of(InstanceLifecycle.class);
    private static final long TICK_INTERVAL_MS = 100;
    private static final long CONTROL_TIMEOUT_MS = 3_000;

    private final Blackboard blackboard;
    private final RecordSpecResolver specs;
    private final PlannedStopRecord ownStopRecord;
    private final ControlWatcher watcher;
    private final Optional<ControlService> voter;
    private final GenerationService generations;
    private final HttpFrontend frontend;
    private final ScheduledExecutorService scheduler;
    private final MillisClock clock;
    private final CompletableFuture<Void> stopCompletion = new CompletableFuture<>();
    private ScheduledFuture<?> tickTask;
    private boolean stopRequested;
    private boolean stopSubmitted;
    private boolean membershipEnding;
    private long stopStartedAtMs;

    /**
     * Creates the lifecycle of an instance; nothing runs before {@link #start()}.
     *
     * @param blackboard shared state; this object writes its readiness part
     * @param specs converts records to their types
     * @param control submits the record of a stop that a signal requested
     * @param watcher ends the membership in the cluster
     * @param voter voter of this instance, which transfers its leadership; empty if there is none
     * @param generations service whose owned generations a stop waits for
     * @param frontend frontend whose requests and connections a stop waits for
     * @param scheduler runs the periodic step
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
        this.ownStopRecord =
                new PlannedStopRecord(control, blackboard.control()::read, CONTROL_TIMEOUT_MS);
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.voter = Objects.requireNonNull(voter, "voter");
        this.generations = Objects.requireNonNull(generations, "generations");
        this.frontend = Objects.requireNonNull(frontend, "frontend");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Starts the periodic step that follows the blackboard. */
    synchronized void start() {
        tickTask =
                scheduler.scheduleWithFixedDelay(
                        this::tickSafely, 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Requests a planned stop of this instance; called on a termination signal. */
    public synchronized void planStop() {
        if (!stopRequested) {
            stopRequested = true;
            LOG.info("SAP1303", "Planned stop was requested by a signal");
        }
    }

    /** Returns a future that completes when a planned stop is complete and the process may exit. */
    public CompletableFuture<Void> stopCompletion() {
        return stopCompletion;
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.error("SAP1304", e, "A step of the instance lifecycle failed; it will run again");
        }
    }

    private synchronized void tick() {
        Optional<InstanceRef> self = blackboard.self().read();
        Optional<StopSpec> stop = self.flatMap(this::findStop);
        if (stopRequested && stop.isEmpty() && !stopSubmitted && self.isPresent()) {
            submitStopRecord(self.get());
        }
        boolean stopPlanned = stop.isPresent() || stopRequested;
        Readiness current = blackboard.readiness().read();
        switch (current) {
            case STARTING -> tickStarting(self, stopPlanned);
            case READY -> {
                if (stopPlanned) {
                    beginStop();
                }
            }
            case LEAVING, DRAINING -> tickStopping(current, stop, stopPlanned);
            default -> throw new IllegalStateException("unknown readiness " + current);
        }
    }

    private void tickStarting(Optional<InstanceRef> self, boolean stopPlanned) {
        if (stopRequested && self.isEmpty()) {
            // The instance never joined the cluster, so there is nothing to hand over.
            completeStop();
        } else if (self.isPresent()
                && blackboard.configurationLease().read().isValidAt(clock.nowMs())
                && blackboard.control().read().isLive(self.get())) {
            if (stopPlanned) {
                beginStop();
            } else {
                publishReadiness(Readiness.READY);
                ownStopRecord.deleteObsolete(self.get());
            }
        }
    }

    private void beginStop() {
        stopStartedAtMs = clock.nowMs();
        publishReadiness(Readiness.LEAVING);
        voter.ifPresent(ControlService::transferLeadership);
    }

    private void tickStopping(Readiness current, Optional<StopSpec> stop, boolean stopPlanned) {
        if (!stopPlanned && !membershipEnding) {
            LOG.info("SAP1305", "Planned stop was withdrawn");
            frontend.resume();
            publishReadiness(Readiness.READY);
            return;
        }
        long elapsedMs = clock.nowMs() - stopStartedAtMs;
        if (current == Readiness.LEAVING && elapsedMs >= LEAVING_PERIOD_MS) {
            publishReadiness(Readiness.DRAINING);
        }
        if (current == Readiness.DRAINING && !membershipEnding) {
            frontend.drain();
            long maxWaitMs = stop.map(StopSpec::maxWaitMs).orElse(StopSpec.DEFAULT_MAX_WAIT_MS);
            boolean drained =
                    generations.countOwnedRunning() == 0
                            && frontend.openRequests() == 0
                            && frontend.openConnections() == 0;
            if (drained || elapsedMs >= maxWaitMs) {
                leaveFleet(drained);
            }
        }
    }

    private void leaveFleet(boolean drained) {
        membershipEnding = true;
        voter.ifPresent(ControlService::transferLeadership);
        LOG.info(
                "SAP1306",
                "Instance is leaving the fleet",
                "ownedRunning",
                generations.countOwnedRunning(),
                "openConnections",
                frontend.openConnections(),
                "complete",
                drained);
        Optional<InstanceRef> self = blackboard.self().read();
        watcher.leave(CONTROL_TIMEOUT_MS)
                .handle((ok, failure) -> failure)
                .thenCompose(failure -> ownStopRecord.delete(self))
                .whenComplete((ok, failure) -> completeStop());
    }

    private void completeStop() {
        stopCompletion.complete(null);
    }

    private Optional<StopSpec> findStop(InstanceRef self) {
        return PlannedStopRecord.find(blackboard.control().read(), self).flatMap(specs::stop);
    }

    private void submitStopRecord(InstanceRef self) {
        stopSubmitted = true;
        ownStopRecord.submit(self);
    }

    private void publishReadiness(Readiness next) {
        blackboard.readiness().publish(next);
        LOG.info("SAP1308", "Readiness changed", "readiness", next);
    }

    @Override
    public synchronized void close() {
        if (tickTask != null) {
            tickTask.cancel(false);
        }
    }
}

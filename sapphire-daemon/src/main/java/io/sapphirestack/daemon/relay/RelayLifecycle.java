package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.daemon.PlannedStopRecord;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlService;
import io.sapphirestack.runtime.control.ControlWatcher;
import io.sapphirestack.runtime.metrics.EventLog;
import io.sapphirestack.runtime.relay.RelayListener;
import io.sapphirestack.runtime.relay.TrafficRelay;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Owner of the readiness of a relaying instance. A planned stop first leaves the address list, then
 * refuses new requests, and ends when the requests in flight have ended or the grace period does.
 * Thread-safe.
 */
final class RelayLifecycle {

    /** Callers keep an address for some seconds; most have asked again after this time. */
    static final long ACCEPT_MS = 2_500;

    /** Part of the grace period that is left for leaving the fleet, in milliseconds. */
    static final long LEAVE_MS = 700;

    private static final long TICK_MS = 100;
    private static final long SWEEP_TICKS = 10;
    private static final EventLog LOG = EventLog.of(RelayLifecycle.class);

    private final Blackboard blackboard;
    private final BooleanSupplier canServe;
    private final PlannedStopRecord ownStop;
    private final ControlWatcher watcher;
    private final Optional<ControlService> voter;
    private final RelayListener listener;
    private final TrafficRelay relay;
    private final long graceMs;
    private final MillisClock clock;
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private boolean stopping;
    private boolean refusing;
    private boolean leaving;
    private long stopSinceMs;
    private long ticks;

    RelayLifecycle(
            Blackboard blackboard,
            BooleanSupplier canServe,
            PlannedStopRecord ownStop,
            ControlWatcher watcher,
            Optional<ControlService> voter,
            RelayListener listener,
            TrafficRelay relay,
            long graceMs,
            MillisClock clock) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.canServe = Objects.requireNonNull(canServe, "canServe");
        this.ownStop = Objects.requireNonNull(ownStop, "ownStop");
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.voter = Objects.requireNonNull(voter, "voter");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.relay = Objects.requireNonNull(relay, "relay");
        this.graceMs = graceMs;
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(this::tickSafely, 0, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Begins a planned stop. */
    synchronized void planStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        stopSinceMs = clock.nowMs();
        LOG.info("SAP1303", "Planned stop was requested by a signal");
        become(Readiness.LEAVING);
        blackboard.self().read().ifPresent(ownStop::submit);
        voter.ifPresent(ControlService::transferLeadership);
    }

    CompletableFuture<Void> left() {
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
        ticks++;
        if (ticks % SWEEP_TICKS == 0) {
            relay.sweep();
        }
        if (stopping) {
            tickStopping();
        } else if (blackboard.readiness().read() == Readiness.STARTING && canServe.getAsBoolean()) {
            become(Readiness.READY);
            blackboard.self().read().ifPresent(ownStop::deleteObsolete);
        }
    }

    private void tickStopping() {
        long sinceMs = clock.nowMs() - stopSinceMs;
        if (sinceMs >= ACCEPT_MS && !refusing) {
            refusing = true;
            become(Readiness.DRAINING);
            listener.drain();
            relay.refuse();
        }
        boolean done = refusing && relay.openRequests() == 0 && listener.openConnections() == 0;
        if (!leaving && (done || sinceMs >= graceMs - LEAVE_MS)) {
            leave(done);
        }
    }

    private void leave(boolean done) {
        leaving = true;
        LOG.info(
                "SAP1306",
                "Instance leaves the fleet",
                "openRequests",
                relay.openRequests(),
                "openConnections",
                listener.openConnections(),
                "complete",
                done);
        Optional<InstanceRef> self = blackboard.self().read();
        watcher.leave(LEAVE_MS / 2)
                .handle((ok, failure) -> failure)
                .thenCompose(failure -> ownStop.delete(self))
                .completeOnTimeout(null, LEAVE_MS - TICK_MS, TimeUnit.MILLISECONDS)
                .whenComplete((ok, failure) -> left.complete(null));
    }

    private void become(Readiness next) {
        blackboard.readiness().publish(next);
        LOG.info("SAP1308", "Readiness changed", "readiness", next);
    }
}

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
 * Controls the readiness of an instance that relays requests. The instance becomes ready when it
 * has a traffic plan. On a planned stop it first removes itself from the address list that callers
 * read, then refuses new requests, and leaves the fleet when its open requests and connections have
 * ended or the grace period is nearly over. Thread-safe.
 */
final class RelayLifecycle {

    /**
     * Time after the start of a planned stop during which new requests are still accepted, in
     * milliseconds. Callers cache addresses for some seconds; most have refreshed them after this
     * time.
     */
    static final long ACCEPT_AFTER_STOP_MS = 2_500;

    /** Part of the grace period that is reserved for leaving the fleet, in milliseconds. */
    static final long LEAVE_TIMEOUT_MS = 700;

    /** Time in which the last responses reach the callers before the instance leaves. */
    private static final long RESPONSE_TIME_MS = 300;

    private static final long TICK_INTERVAL_MS = 100;
    private static final long TICKS_PER_SWEEP = 10;
    private static final EventLog LOG = EventLog.of(RelayLifecycle.class);

    private final Blackboard blackboard;
    private final BooleanSupplier isPlanKnown;
    private final PlannedStopRecord ownStopRecord;
    private final ControlWatcher watcher;
    private final Optional<ControlService> voter;
    private final RelayListener listener;
    private final TrafficRelay relay;
    private final long graceMs;
    private final MillisClock clock;
    private final CompletableFuture<Void> stopCompletion = new CompletableFuture<>();
    private boolean stopping;
    private boolean refusing;
    private boolean leaving;
    private long stopStartedAtMs;
    private long ticks;

    /**
     * Creates a lifecycle.
     *
     * @param blackboard shared state to which the readiness is published
     * @param isPlanKnown returns whether the instance has a traffic plan
     * @param ownStopRecord configuration record of this instance's planned stop
     * @param watcher ends the membership of the instance
     * @param voter voter in this process, which gives up leadership on a stop; empty if there is
     *     none
     * @param listener accepts the connections of callers
     * @param relay relays the requests
     * @param graceMs longest time from the start of a planned stop to its completion, in
     *     milliseconds
     * @param clock monotonic clock
     */
    RelayLifecycle(
            Blackboard blackboard,
            BooleanSupplier isPlanKnown,
            PlannedStopRecord ownStopRecord,
            ControlWatcher watcher,
            Optional<ControlService> voter,
            RelayListener listener,
            TrafficRelay relay,
            long graceMs,
            MillisClock clock) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.isPlanKnown = Objects.requireNonNull(isPlanKnown, "isPlanKnown");
        this.ownStopRecord = Objects.requireNonNull(ownStopRecord, "ownStopRecord");
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.voter = Objects.requireNonNull(voter, "voter");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.relay = Objects.requireNonNull(relay, "relay");
        this.graceMs = graceMs;
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Starts to run the lifecycle periodically on a scheduler, which the caller shuts down. */
    void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                this::tickSafely, 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Begins a planned stop without waiting for its end. Further calls have no effect. */
    synchronized void planStop() {
        if (stopping) {
            return;
        }
        stopping = true;
        stopStartedAtMs = clock.nowMs();
        LOG.info("SAP1303", "Planned stop was requested by a signal");
        relay.endRequestsBy(stopStartedAtMs + graceMs - LEAVE_TIMEOUT_MS - RESPONSE_TIME_MS);
        publishReadiness(Readiness.LEAVING);
        blackboard.self().read().ifPresent(ownStopRecord::submit);
        voter.ifPresent(ControlService::transferLeadership);
    }

    /**
     * Returns a future that completes when a planned stop is complete and the process may exit. It
     * completes normally also if leaving the fleet fails or times out.
     */
    CompletableFuture<Void> stopCompletion() {
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
        ticks++;
        relay.closeOverdueSends();
        if (ticks % TICKS_PER_SWEEP == 0) {
            relay.sweep();
        }
        if (stopping) {
            tickStopping();
        } else if (blackboard.readiness().read() == Readiness.STARTING
                && isPlanKnown.getAsBoolean()) {
            publishReadiness(Readiness.READY);
            blackboard.self().read().ifPresent(ownStopRecord::deleteObsolete);
        }
    }

    private void tickStopping() {
        long elapsedMs = clock.nowMs() - stopStartedAtMs;
        if (elapsedMs >= ACCEPT_AFTER_STOP_MS && !refusing) {
            refusing = true;
            publishReadiness(Readiness.DRAINING);
            listener.drain();
            relay.refuse();
        }
        boolean drained = refusing && relay.openRequests() == 0 && listener.openConnections() == 0;
        if (!leaving && (drained || elapsedMs >= graceMs - LEAVE_TIMEOUT_MS)) {
            leave(drained);
        }
    }

    private void leave(boolean drained) {
        leaving = true;
        LOG.info(
                "SAP1306",
                "Instance is leaving the fleet",
                "openRequests",
                relay.openRequests(),
                "openConnections",
                listener.openConnections(),
                "complete",
                drained);
        Optional<InstanceRef> self = blackboard.self().read();
        watcher.leave(LEAVE_TIMEOUT_MS / 2)
                .handle((ok, failure) -> failure)
                .thenCompose(failure -> ownStopRecord.delete(self))
                .completeOnTimeout(null, LEAVE_TIMEOUT_MS - TICK_INTERVAL_MS, TimeUnit.MILLISECONDS)
                .whenComplete((ok, failure) -> stopCompletion.complete(null));
    }

    private void publishReadiness(Readiness next) {
        blackboard.readiness().publish(next);
        LOG.info("SAP1308", "Readiness changed", "readiness", next);
    }
}

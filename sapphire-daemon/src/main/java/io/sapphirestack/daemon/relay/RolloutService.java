package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.rollout.RolloutOrder;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Takes the orders of operators to roll out versions of services. Thread-safe. */
public final class RolloutService {

    private static final EventLog LOG = EventLog.of(RolloutService.class);

    /** Number of times that an order is decided again because another change was written first. */
    private static final int MAX_CONFLICTS = 3;

    private final RolloutRecords records;
    private final Supplier<Optional<TrafficPlan>> plan;
    private final MillisClock wallClock;

    /** Response to an order. */
    public enum Reply {
        /** The order is committed, now or before. */
        COMMITTED,
        /** Another order for the service is in progress. */
        CONFLICT,
        /** The traffic plan has no such service. */
        UNKNOWN_SERVICE,
        /** This instance cannot tell: it has no traffic plan, or the write was refused. */
        UNAVAILABLE
    }

    /**
     * Creates the service.
     *
     * @param records records of rollouts
     * @param plan returns the current traffic plan
     * @param wallClock clock of Unix time
     */
    RolloutService(
            RolloutRecords records, Supplier<Optional<TrafficPlan>> plan, MillisClock wallClock) {
        this.records = Objects.requireNonNull(records, "records");
        this.plan = Objects.requireNonNull(plan, "plan");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    /**
     * Takes an order.
     *
     * @param order order
     * @param timeoutMs time after which a read or write of the control log fails, in milliseconds
     * @return the reply, or a failure if the control log did not confirm the order in time
     */
    public CompletableFuture<Reply> start(RolloutOrder order, long timeoutMs) {
        Optional<TrafficPlan> current = plan.get();
        if (current.isEmpty()) {
            return CompletableFuture.completedFuture(Reply.UNAVAILABLE);
        }
        if (current.get().service(order.service()).isEmpty()) {
            return CompletableFuture.completedFuture(Reply.UNKNOWN_SERVICE);
        }
        return start(order, timeoutMs, MAX_CONFLICTS);
    }

    private CompletableFuture<Reply> start(RolloutOrder order, long timeoutMs, int conflictsLeft) {
        return records.read(order.service(), timeoutMs)
                .thenCompose(stored -> decide(order, stored, timeoutMs, conflictsLeft));
    }

    private CompletableFuture<Reply> decide(
            RolloutOrder order,
            Optional<RolloutRecords.Stored> stored,
            long timeoutMs,
            int conflictsLeft) {
        Optional<RolloutSpec> last = stored.map(RolloutRecords.Stored::rollout);
        long nowMs = wallClock.nowMs();
        return switch (order.decide(last, nowMs)) {
            case REPEATED -> CompletableFuture.completedFuture(Reply.COMMITTED);
            case CONFLICT -> CompletableFuture.completedFuture(Reply.CONFLICT);
            case START -> {
                long revision = stored.map(RolloutRecords.Stored::revision).orElse(0L);
                yield records.write(order.start(last, nowMs), revision, "operator", timeoutMs)
                        .thenCompose(r -> onWritten(order, r, timeoutMs, conflictsLeft));
            }
        };
    }

    private CompletableFuture<Reply> onWritten(
            RolloutOrder order, ControlResult result, long timeoutMs, int conflictsLeft) {
        if (result instanceof ControlResult.RecordConflict && conflictsLeft > 0) {
            return start(order, timeoutMs, conflictsLeft - 1);
        }
        LOG.info(
                "SAP1960",
                "A rollout was ordered",
                "service",
                order.service(),
                "version",
                order.version(),
                "periodMs",
                order.periodMs(),
                "result",
                result);
        return CompletableFuture.completedFuture(
                result instanceof ControlResult.RecordAccepted
                        ? Reply.COMMITTED
                        : Reply.UNAVAILABLE);
    }

    /**
     * Reads the last rollout of a service.
     *
     * @param service name of the service
     * @param timeoutMs time after which the call fails, in milliseconds
     * @return rollout, empty if none was ordered; fails if the control log does not confirm it
     */
    public CompletableFuture<Optional<RolloutSpec>> find(String service, long timeoutMs) {
        return records.read(service, timeoutMs)
                .thenApply(stored -> stored.map(RolloutRecords.Stored::rollout));
    }
}

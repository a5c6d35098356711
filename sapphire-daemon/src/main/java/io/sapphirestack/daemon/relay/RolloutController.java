package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.rollout.LocalRollout;
import io.sapphirestack.core.rollout.LocalRollouts;
import io.sapphirestack.core.rollout.RolloutEvaluation.KnownEndpoints;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.version.VersionCountsTable;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Evaluates the rollouts in progress. Every instance stops using a version that is clearly bad; the
 * leader of the control log also writes the next stage or the end. Thread-safe.
 */
final class RolloutController {

    private static final EventLog LOG = EventLog.of(RolloutController.class);

    /** Time between two evaluations, in milliseconds. */
    private static final long INTERVAL_MS = 200;

    private static final long WRITE_TIMEOUT_MS = 1_000;

    private final RolloutRecords records;
    private final LocalRollouts rollouts;
    private final Supplier<Optional<TrafficPlan>> plan;
    private final Supplier<EndpointTable> endpoints;
    private final Supplier<VersionCountsTable> others;
    private final BooleanSupplier isLeader;

    /** Services whose record is being written; one write at a time avoids conflicts. */
    private final Set<String> writing = ConcurrentHashMap.newKeySet();

    RolloutController(
            RolloutRecords records,
            LocalRollouts rollouts,
            Supplier<Optional<TrafficPlan>> plan,
            Supplier<EndpointTable> endpoints,
            Supplier<VersionCountsTable> others,
            BooleanSupplier isLeader) {
        this.records = Objects.requireNonNull(records, "records");
        this.rollouts = Objects.requireNonNull(rollouts, "rollouts");
        this.plan = Objects.requireNonNull(plan, "plan");
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.others = Objects.requireNonNull(others, "others");
        this.isLeader = Objects.requireNonNull(isLeader, "isLeader");
    }

    /** Starts the periodic evaluation on a scheduler, which the caller shuts down. */
    void start(ScheduledExecutorService scheduler) {
        scheduler.scheduleWithFixedDelay(
                this::tickSafely, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void tickSafely() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOG.warn(
                    "SAP1963",
                    "The evaluation of rollouts failed; the next one tries again",
                    "cause",
                    e);
        }
    }

    /** Evaluates all rollouts in progress once. */
    void tick() {
        for (Map.Entry<String, RolloutRecords.Stored> entry : records.known().entrySet()) {
            if (entry.getValue().rollout().isInProgress()) {
                evaluate(entry.getKey(), entry.getValue());
            }
        }
    }

    private void evaluate(String service, RolloutRecords.Stored stored) {
        RolloutSpec current = stored.rollout();
        LocalRollout state = rollouts.state(current);
        Set<String> routes = plan.get().map(p -> p.routesOf(service)).orElse(Set.of());
        if (state.evaluate(others.get(), routes)) {
            LOG.warn(
                    "SAP1962",
                    "This instance stops using a version that is worse than the old one",
                    "service",
                    service,
                    "version",
                    current.version(),
                    "lnOwnEvidence",
                    state.lnLocalEvidence(),
                    "lnEvidence",
                    state.lnFleetEvidence());
        }
        if (isLeader.getAsBoolean()) {
            state.next(current, knownEndpoints(current))
                    .ifPresent(next -> write(next, stored.revision(), state));
        }
    }

    private KnownEndpoints knownEndpoints(RolloutSpec rollout) {
        List<EndpointState> all = endpoints.get().ofService(rollout.service());
        List<String> versions = all.stream().map(EndpointState::version).distinct().toList();
        return new KnownEndpoints(
                versions.contains(rollout.version()),
                versions.stream().filter(v -> !v.equals(rollout.version())).toList());
    }

    private void write(RolloutSpec next, long revision, LocalRollout state) {
        if (!writing.add(next.service())) {
            return;
        }
        double lnEvidence = state.lnFleetEvidence();
        records.write(next, revision, "evaluation", WRITE_TIMEOUT_MS)
                .whenComplete(
                        (result, failure) -> {
                            writing.remove(next.service());
                            log(next, lnEvidence, result, failure);
                        });
    }

    private static void log(
            RolloutSpec next, double lnEvidence, ControlResult result, Throwable failure) {
        if (!(result instanceof ControlResult.RecordAccepted)) {
            LOG.warn(
                    "SAP1963",
                    "A rollout was not changed; the next evaluation tries again",
                    "service",
                    next.service(),
                    "cause",
                    failure == null ? result : failure);
            return;
        }
        LOG.info(
                "SAP1961",
                "A rollout has changed",
                "service",
                next.service(),
                "version",
                next.version(),
                "state",
                next.state(),
                "stage",
                next.stage(),
                "share",
                next.share(),
                "verdict",
                next.verdict(),
                "lnEvidence",
                lnEvidence);
    }
}

package io.sapphirestack.core.rollout;

import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.version.VersionCounts;
import io.sapphirestack.core.version.VersionCountsTable;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Rollout in progress as one instance sees it: what it counted itself, and what all instances
 * counted together. Thread-safe.
 */
public final class LocalRollout {

    /** Probability with which a good version is withdrawn. */
    private static final double FLEET_LEVEL = 0.005;

    /**
     * Probability with which an instance stops using a good version on its own. It is lower than
     * that of the fleet, because each of up to 100 instances may err.
     */
    private static final double LOCAL_LEVEL = 0.0001;

    private final RolloutSpec order;
    private final MillisClock wallClock;
    private final RolloutEvidence fleet;
    private final RolloutEvidence local;
    private final Map<String, LatencyBound> boundByRoute = new HashMap<>();
    private final TreeMap<Long, Map<String, VersionCounts>> windows = new TreeMap<>();
    private boolean stopped;

    /**
     * Creates the state of a rollout.
     *
     * @param order rollout
     * @param wallClock clock of Unix time, by which windows are numbered
     */
    public LocalRollout(RolloutSpec order, MillisClock wallClock) {
        this.order = Objects.requireNonNull(order, "order");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.fleet = new RolloutEvidence(order.periodMs(), FLEET_LEVEL);
        this.local = new RolloutEvidence(order.periodMs(), LOCAL_LEVEL);
    }

    /**
     * Returns whether this object belongs to a rollout.
     *
     * @param rollout rollout of the same service
     */
    public boolean isOf(RolloutSpec rollout) {
        return order.isSameOrder(rollout);
    }

    /**
     * Counts a response.
     *
     * @param route name of the route
     * @param version version of the endpoint
     * @param latencyMs time from the request to the response or to its first event, in milliseconds
     */
    public synchronized void recordResponse(String route, String version, long latencyMs) {
        LatencyBound bound = boundByRoute.computeIfAbsent(route, r -> new LatencyBound());
        VersionCounts.Outcome outcome =
                bound.isExceededBy(latencyMs)
                        ? VersionCounts.Outcome.SLOW
                        : VersionCounts.Outcome.GOOD;
        boolean isNew = isNew(version);
        count(route, isNew, outcome);
        if (!isNew) {
            bound.add(latencyMs);
        }
    }

    /**
     * Counts a failure.
     *
     * @param route name of the route
     * @param version version of the endpoint
     */
    public synchronized void recordFailure(String route, String version) {
        count(route, isNew(version), VersionCounts.Outcome.FAILED);
    }

    private void count(String route, boolean isNew, VersionCounts.Outcome outcome) {
        long window = RolloutEvidence.windowOf(wallClock.nowMs());
        windows.computeIfAbsent(window, w -> new TreeMap<>())
                .merge(route, VersionCounts.of(isNew, outcome), VersionCounts::plus);
    }

    /**
     * Returns whether a version is the one that is rolled out.
     *
     * @param version version of an endpoint
     */
    public boolean isNew(String version) {
        return version.equals(order.version());
    }

    /** Returns the counts of this instance that other instances have to know. */
    public synchronized Map<Integer, VersionCounts> counts() {
        removeOldWindows();
        Map<Integer, VersionCounts> counts = new HashMap<>();
        windows.forEach(
                (window, byRoute) ->
                        byRoute.forEach(
                                (route, value) ->
                                        counts.put(
                                                VersionCountsTable.handleOf(order, route, window),
                                                value)));
        return counts;
    }

    private void removeOldWindows() {
        long now = RolloutEvidence.windowOf(wallClock.nowMs());
        windows.headMap(now - RolloutEvidence.RETAINED_WINDOWS, true).clear();
    }

    /**
     * Evaluates the counts known now.
     *
     * @param others counts of all other instances
     * @param routes names of the routes of the service
     * @return whether this instance stops using the new version with this call
     */
    public synchronized boolean evaluate(VersionCountsTable others, Collection<String> routes) {
        long nowMs = wallClock.nowMs();
        removeOldWindows();
        long last = RolloutEvidence.windowOf(nowMs);
        // The clock of another instance may be ahead by a second.
        long end = last + 1_000 / RolloutEvidence.WINDOW_MS;
        for (long w = last - RolloutEvidence.RETAINED_WINDOWS + 1; w <= end; w++) {
            for (String route : routes) {
                VersionCounts own =
                        windows.getOrDefault(w, Map.of()).getOrDefault(route, VersionCounts.NONE);
                local.merge(w, route, own);
                int handle = VersionCountsTable.handleOf(order, route, w);
                fleet.merge(w, route, own.plus(others.of(handle)));
            }
        }
        fleet.evaluate(nowMs);
        local.evaluate(nowMs);
        boolean stops = !stopped && (fleet.isClear() || local.isClear());
        stopped |= stops;
        return stops;
    }

    /** Returns whether this instance has stopped using the new version. */
    public synchronized boolean isStopped() {
        return stopped;
    }

    /** Returns the evidence of this instance alone against the new version, a logarithm. */
    public synchronized double lnLocalEvidence() {
        return local.lnEvidence();
    }

    /** Returns the evidence of all instances against the new version, a logarithm. */
    public synchronized double lnFleetEvidence() {
        return fleet.lnEvidence();
    }

    /**
     * Decides the next content of the record from the evidence of all instances.
     *
     * @param current content of the record
     * @param endpoints endpoints of the service
     * @return next content, empty if nothing changes
     */
    public synchronized Optional<RolloutSpec> next(
            RolloutSpec current, RolloutEvaluation.KnownEndpoints endpoints) {
        return RolloutEvaluation.next(current, fleet, endpoints, wallClock.nowMs());
    }
}

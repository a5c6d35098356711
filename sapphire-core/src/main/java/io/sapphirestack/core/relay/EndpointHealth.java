package io.sapphirestack.core.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.time.MillisClock;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks the health of endpoints from the outcomes of requests that this instance sent. An endpoint
 * that could not be reached is suspected for a time that doubles with each further failure; after
 * that, one request at a time probes it. Thread-safe and lock-free.
 */
public final class EndpointHealth {

    /** Time for which an endpoint is avoided after its first failure, in milliseconds. */
    static final long INITIAL_SUSPICION_MS = 400;

    /** Maximum time for which an endpoint is avoided without a new failure, in milliseconds. */
    static final long MAX_SUSPICION_MS = 6_400;

    /** Minimum interval between probing requests to a suspected endpoint, in milliseconds. */
    static final long PROBE_INTERVAL_MS = 400;

    /** Weight of the latest outcome in the moving average of the error rate. */
    static final double LATEST_OUTCOME_WEIGHT = 0.2;

    /**
     * Half-life of the error rate, in milliseconds. The rate decays so that an avoided endpoint is
     * used again.
     */
    static final double ERROR_HALF_LIFE_MS = 2_000;

    private static final Health UNKNOWN = new Health(0, Long.MIN_VALUE, 0, 0);

    private final MillisClock clock;
    private final Map<EndpointId, Health> byId = new ConcurrentHashMap<>();

    /**
     * Creates a tracker.
     *
     * @param clock monotonic clock
     */
    public EndpointHealth(MillisClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private record Health(int failures, long suspectUntilMs, double errorRate, long errorRateAtMs) {

        double errorRate(long nowMs) {
            // A rate of 0 has no valid timestamp, and the monotonic clock may be negative.
            return errorRate == 0
                    ? 0
                    : errorRate * Math.pow(0.5, (nowMs - errorRateAtMs) / ERROR_HALF_LIFE_MS);
        }

        /** Returns the moving average after one more outcome. */
        double errorRateAfter(boolean failed, long nowMs) {
            double rate = errorRate(nowMs);
            return rate + LATEST_OUTCOME_WEIGHT * ((failed ? 1 : 0) - rate);
        }
    }

    /**
     * Records that an endpoint did not respond: the connection was refused or closed, or no data
     * arrived in time.
     *
     * @param id endpoint
     */
    public void recordUnreachable(EndpointId id) {
        long nowMs = clock.nowMs();
        byId.compute(
                id,
                (key, current) -> {
                    Health previous = current == null ? UNKNOWN : current;
                    int failures = Math.min(previous.failures() + 1, 16);
                    long suspicionMs =
                            Math.min(MAX_SUSPICION_MS, INITIAL_SUSPICION_MS << (failures - 1));
                    return new Health(
                            failures,
                            nowMs + suspicionMs,
                            previous.errorRateAfter(true, nowMs),
                            nowMs);
                });
    }

    /**
     * Records a response, which ends the suspicion of the endpoint.
     *
     * @param id endpoint
     * @param failed whether the response reports a failure of the endpoint
     */
    public void recordResponse(EndpointId id, boolean failed) {
        long nowMs = clock.nowMs();
        byId.compute(
                id,
                (key, current) -> {
                    Health previous = current == null ? UNKNOWN : current;
                    return new Health(
                            0, Long.MIN_VALUE, previous.errorRateAfter(failed, nowMs), nowMs);
                });
    }

    /**
     * Returns whether an endpoint is currently avoided.
     *
     * @param id endpoint
     * @return whether it is suspected because of a recent connection failure
     */
    public boolean isSuspect(EndpointId id) {
        return byId.getOrDefault(id, UNKNOWN).suspectUntilMs() > clock.nowMs();
    }

    /**
     * Returns the moving average of failed and missing responses, which decays over time.
     *
     * @param id endpoint
     * @return share of failed or missing responses, 0 to 1; 0 for an unknown endpoint
     */
    public double errorRate(EndpointId id) {
        return byId.getOrDefault(id, UNKNOWN).errorRate(clock.nowMs());
    }

    /**
     * Records that a request is sent to an endpoint. If a suspicion has just expired, this request
     * is the probe: other requests avoid the endpoint for {@link #PROBE_INTERVAL_MS}, so that the
     * probe has time to succeed.
     *
     * @param id endpoint
     */
    public void recordSelection(EndpointId id) {
        long nowMs = clock.nowMs();
        byId.computeIfPresent(
                id,
                (key, previous) ->
                        previous.failures() > 0 && previous.suspectUntilMs() <= nowMs
                                ? new Health(
                                        previous.failures(),
                                        nowMs + PROBE_INTERVAL_MS,
                                        previous.errorRate(),
                                        previous.errorRateAtMs())
                                : previous);
    }

    /**
     * Removes all endpoints that no longer exist.
     *
     * @param known identifiers of the existing endpoints
     */
    public void retain(Set<EndpointId> known) {
        byId.keySet().retainAll(known);
    }
}

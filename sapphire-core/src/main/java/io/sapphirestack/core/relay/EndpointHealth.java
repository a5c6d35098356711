package io.sapphirestack.core.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.time.MillisClock;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the outcomes of own requests tell about endpoints. An endpoint that could not be reached is
 * suspected for a time that doubles with each further failure; one request at a time then tries it
 * again. Thread-safe and lock-free.
 */
public final class EndpointHealth {

    /** Time for which an endpoint is avoided after one connection failure, in milliseconds. */
    static final long FIRST_SUSPICION_MS = 400;

    /** Longest time for which an endpoint is avoided without a new failure, in milliseconds. */
    static final long LONGEST_SUSPICION_MS = 6_400;

    /** Time that one trial request of a suspected endpoint may take before the next one. */
    static final long TRIAL_MS = 400;

    /** Weight of the newest outcome in the moving average of errors. */
    static final double ERROR_WEIGHT = 0.2;

    /** Time in which an error loses half of its weight, so that an endpoint is tried again. */
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
            // A rate of 0 has no time, and the monotonic clock may be negative.
            return errorRate == 0
                    ? 0
                    : errorRate * Math.pow(0.5, (nowMs - errorRateAtMs) / ERROR_HALF_LIFE_MS);
        }

        /** Returns the moving average with one more outcome. */
        double errorRateAfter(boolean failed, long nowMs) {
            double rate = errorRate(nowMs);
            return rate + ERROR_WEIGHT * ((failed ? 1 : 0) - rate);
        }
    }

    /**
     * Records that an endpoint did not answer: refused or broken connection, or silence.
     *
     * @param id endpoint
     */
    public void unreachable(EndpointId id) {
        long nowMs = clock.nowMs();
        byId.compute(
                id,
                (key, old) -> {
                    Health last = old == null ? UNKNOWN : old;
                    int failures = Math.min(last.failures() + 1, 16);
                    long suspicionMs =
                            Math.min(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS << (failures - 1));
                    return new Health(
                            failures, nowMs + suspicionMs, last.errorRateAfter(true, nowMs), nowMs);
                });
    }

    /**
     * Records an answer.
     *
     * @param id endpoint
     * @param failed whether the answer says that the endpoint failed
     */
    public void answered(EndpointId id, boolean failed) {
        long nowMs = clock.nowMs();
        byId.compute(
                id,
                (key, old) -> {
                    Health last = old == null ? UNKNOWN : old;
                    return new Health(0, Long.MIN_VALUE, last.errorRateAfter(failed, nowMs), nowMs);
                });
    }

    /**
     * Returns whether an endpoint is avoided now.
     *
     * @param id endpoint
     * @return whether it failed lately
     */
    public boolean isSuspect(EndpointId id) {
        return byId.getOrDefault(id, UNKNOWN).suspectUntilMs() > clock.nowMs();
    }

    /**
     * Returns the moving average of failed and lost answers, which fades with time.
     *
     * @param id endpoint
     * @return share of failed answers, 0 to 1
     */
    public double errorRate(EndpointId id) {
        return byId.getOrDefault(id, UNKNOWN).errorRate(clock.nowMs());
    }

    /**
     * Records that a request is sent. After a suspicion has ended, other requests avoid the
     * endpoint until this one had time to succeed.
     *
     * @param id endpoint
     */
    public void chosen(EndpointId id) {
        long nowMs = clock.nowMs();
        byId.computeIfPresent(
                id,
                (key, last) ->
                        last.failures() > 0 && last.suspectUntilMs() <= nowMs
                                ? new Health(
                                        last.failures(),
                                        nowMs + TRIAL_MS,
                                        last.errorRate(),
                                        last.errorRateAtMs())
                                : last);
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known names of the endpoints that exist
     */
    public void retain(Set<EndpointId> known) {
        byId.keySet().retainAll(known);
    }
}

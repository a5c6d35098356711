package io.sapphirestack.core.admission;

import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Estimates how many more requests the endpoints of a service execute at once, from the load that
 * they report and from the requests of this instance. Addresses services that are full at some
 * moments, where requests of other instances reach the same endpoints. Thread-safe.
 */
public final class ServiceCapacity {

    private final LoadSource reports;
    private final InFlightTracker inFlight;
    private final long maxReportAgeMs;
    private final MillisClock clock;

    /**
     * Creates an estimate.
     *
     * @param reports loads that endpoints report
     * @param inFlight requests of this instance in flight
     * @param maxReportAgeMs age up to which a report is used, in milliseconds
     * @param clock monotonic clock
     */
    public ServiceCapacity(
            LoadSource reports, InFlightTracker inFlight, long maxReportAgeMs, MillisClock clock) {
        this.reports = Objects.requireNonNull(reports, "reports");
        this.inFlight = Objects.requireNonNull(inFlight, "inFlight");
        this.maxReportAgeMs = maxReportAgeMs;
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Expected service of one more request.
     *
     * @param freeSlots requests that would be executed at once
     * @param startInMs time until the endpoint with the shortest wait starts it, in milliseconds
     * @param endInMs time until the endpoint that is the first to end it has done so, in
     *     milliseconds
     * @param oldestReportMs age of the oldest report that was used, in milliseconds
     */
    public record Estimate(int freeSlots, double startInMs, double endInMs, long oldestReportMs) {}

    /**
     * Estimates the service of one more request.
     *
     * @param endpoints endpoints to which a request may be sent
     * @param workMs expected time of a request at an endpoint without waiting, in milliseconds
     * @return estimate; empty if an endpoint has no recent report, so that no request may be
     *     refused because of them
     */
    public Optional<Estimate> estimate(List<EndpointState> endpoints, double workMs) {
        int freeSlots = 0;
        double startInMs = Double.MAX_VALUE;
        double endInMs = Double.MAX_VALUE;
        long oldestMs = 0;
        for (EndpointState endpoint : endpoints) {
            Optional<ObservedLoad> known = reports.of(endpoint).filter(this::isUsable);
            if (known.isEmpty()) {
                return Optional.empty();
            }
            ObservedLoad load = known.get();
            int occupied = occupied(endpoint, load, workMs);
            double waitMs = waitMs(load, occupied, workMs);
            freeSlots += Math.max(0, load.slots() - occupied);
            startInMs = Math.min(startInMs, waitMs);
            endInMs = Math.min(endInMs, waitMs + workMs * load.paceFactor());
            oldestMs = Math.max(oldestMs, load.ageMs());
        }
        return endpoints.isEmpty()
                ? Optional.empty()
                : Optional.of(new Estimate(freeSlots, startInMs, endInMs, oldestMs));
    }

    private boolean isUsable(ObservedLoad load) {
        return load.ageMs() <= maxReportAgeMs && load.slots() > 0;
    }

    /** Returns the time until the requests that are ahead of one more have left a slot free. */
    private static double waitMs(ObservedLoad load, int occupied, double workMs) {
        int ahead = Math.max(0, occupied + 1 - load.slots());
        return ahead * workMs * load.paceFactor() / load.slots();
    }

    /** Adds own requests that the report does not contain and that have probably not ended. */
    private int occupied(EndpointState endpoint, ObservedLoad load, double workMs) {
        long sinceMs = clock.nowMs() - (long) Math.min(load.ageMs(), workMs);
        return load.running() + load.waiting() + inFlight.startedSince(endpoint.id(), sinceMs);
    }
}

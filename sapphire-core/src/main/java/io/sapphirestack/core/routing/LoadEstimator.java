package io.sapphirestack.core.routing;

import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Estimates the current load of endpoints. Thread-safe and lock-free if its collaborators are.
 *
 * <p>If the work in flight of the other instances is known, the estimate is the sum over all
 * instances, which is more recent than the load that endpoints report. Otherwise it is the reported
 * load plus the placements since the report: the exact number for this instance, the expected
 * number for the others.
 */
public final class LoadEstimator {
    /**
     * Weight of this instance's placements at an endpoint as evidence of placements by others at
     * the same endpoint; the remaining weight assumes an even distribution. Own placements alone
     * are too few for an estimate, and an even distribution alone would ignore that all instances
     * see the same load.
     */
    private static final double OWN_PLACEMENT_WEIGHT = 0.5;

    /** Time until the placements of other instances are known here, in milliseconds. */
    private static final long DISSEMINATION_LAG_MS = 500;

    private final InFlightTracker inFlight;
    private final Supplier<InFlightTable> others;
    private final IntSupplier liveInstances;
    private final MillisClock clock;

    /**
     * Creates an estimator.
     *
     * @param inFlight work in flight of this instance
     * @param others returns the work in flight of all other instances, as far as it is known
     * @param liveInstances returns the number of instances that place work, including this one
     * @param clock monotonic clock
     */
    public LoadEstimator(
            InFlightTracker inFlight,
            Supplier<InFlightTable> others,
            IntSupplier liveInstances,
            MillisClock clock) {
        this.inFlight = Objects.requireNonNull(inFlight, "inFlight");
        this.others = Objects.requireNonNull(others, "others");
        this.liveInstances = Objects.requireNonNull(liveInstances, "liveInstances");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Estimates the load of endpoints.
     *
     * @param candidates endpoints
     * @return expected running and queued work of each endpoint, in the order of the candidates
     */
    double[] estimate(List<EndpointState> candidates) {
        int size = candidates.size();
        InFlightTable othersInFlight = others.get();
        long nowMs = clock.nowMs();
        double[] ownPlacements = new double[size];
        double ownPlacementSum = 0;
        for (int i = 0; i < size; i++) {
            EndpointState endpoint = candidates.get(i);
            long sinceMs =
                    othersInFlight.known()
                            ? nowMs - DISSEMINATION_LAG_MS
                            : endpoint.announcedAtMs();
            ownPlacements[i] = inFlight.startedSince(endpoint.id(), sinceMs);
            ownPlacementSum += ownPlacements[i];
        }
        double otherInstances = Math.max(0, liveInstances.getAsInt() - 1);
        double[] load = new double[size];
        for (int i = 0; i < size; i++) {
            EndpointState endpoint = candidates.get(i);
            double expectedFromOthers =
                    otherInstances
                            * (OWN_PLACEMENT_WEIGHT * ownPlacements[i]
                                    + (1 - OWN_PLACEMENT_WEIGHT) * ownPlacementSum / size);
            load[i] =
                    expectedFromOthers
                            + (othersInFlight.known()
                                    ? inFlight.inFlight(endpoint.id())
                                            + othersInFlight.of(endpoint.id(), endpoint.epochMs())
                                    : endpoint.load().running()
                                            + endpoint.load().queued()
                                            + ownPlacements[i]);
        }
        return load;
    }
}

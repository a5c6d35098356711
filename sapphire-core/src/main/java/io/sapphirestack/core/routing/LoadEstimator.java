package io.sapphirestack.core.routing;

import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.Objects;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Estimates the present load of endpoints. Thread-safe and lock-free.
 *
 * <p>Where the instances disseminate their work in flight, its sum is used, because it is younger
 * than the load that endpoints report. Otherwise the reported load is corrected by the placements
 * since the report: own ones exactly, those of other instances in expectation.
 */
public final class LoadEstimator {
    /**
     * Weight of own placements on an endpoint as evidence of placements by other instances on the
     * same endpoint; the rest is assumed to be spread evenly. Own placements alone would be too few
     * to estimate from, and an even spread alone would ignore that all instances see the same load.
     */
    private static final double OWN_EVIDENCE = 0.5;

    /** Time until the other instances' placements are known, in milliseconds. */
    private static final long SPREAD_LAG_MS = 500;

    private final InFlightTracker inFlight;
    private final Supplier<InFlightTable> others;
    private final IntSupplier liveInstances;
    private final MillisClock clock;

    /**
     * Creates an estimator.
     *
     * @param inFlight own work
     * @param others returns the work of all other instances, as far as it is known
     * @param liveInstances returns the number of instances that decide independently
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
     * Estimates loads.
     *
     * @param candidates endpoints
     * @return expected work at each endpoint, running and queued
     */
    double[] estimate(List<EndpointState> candidates) {
        int size = candidates.size();
        InFlightTable table = others.get();
        long nowMs = clock.nowMs();
        double[] own = new double[size];
        double ownSum = 0;
        for (int i = 0; i < size; i++) {
            EndpointState endpoint = candidates.get(i);
            long sinceMs = table.known() ? nowMs - SPREAD_LAG_MS : endpoint.heardAtMs();
            own[i] = inFlight.startedSince(endpoint.id(), sinceMs);
            ownSum += own[i];
        }
        double otherInstances = Math.max(0, liveInstances.getAsInt() - 1);
        double[] load = new double[size];
        for (int i = 0; i < size; i++) {
            EndpointState endpoint = candidates.get(i);
            double unseen =
                    otherInstances * (OWN_EVIDENCE * own[i] + (1 - OWN_EVIDENCE) * ownSum / size);
            load[i] =
                    unseen
                            + (table.known()
                                    ? inFlight.inFlight(endpoint.id())
                                            + table.of(endpoint.id(), endpoint.epochMs())
                                    : endpoint.load().running()
                                            + endpoint.load().queued()
                                            + own[i]);
        }
        return load;
    }
}

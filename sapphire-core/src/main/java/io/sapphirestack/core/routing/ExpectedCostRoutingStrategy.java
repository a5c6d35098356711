package io.sapphirestack.core.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.ReportTable;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Chooses an endpoint with a low expected cost in milliseconds: queue wait, prefill of the part of
 * the prompt that is not cached, and latency to its availability zone. Thread-safe and lock-free if
 * its collaborators are.
 */
public final class ExpectedCostRoutingStrategy implements RoutingStrategy {
    /** Weight of an endpoint without a free slot. It is positive, as all endpoints may be full. */
    private static final double FULL_ENDPOINT_WEIGHT = 0.05;

    /**
     * Factor on the weight of an endpoint that has the prefix cached. It is small enough that ten
     * streams placed independently rarely exceed the eight slots of one endpoint.
     */
    private static final double CACHED_WEIGHT_FACTOR = 2;

    private static final int RANDOM_STEPS = 1 << 20;

    private final Supplier<EndpointTable> endpoints;
    private final PrefixIndex prefixes;
    private final LoadEstimator loads;
    private final Predicate<EndpointId> stopping;
    private final String ownZone;
    private final RoutingParameters parameters;
    private final IntUnaryOperator random;
    private final MillisClock clock;

    /**
     * Creates a strategy.
     *
     * @param endpoints returns the published endpoint table
     * @param prefixes index of the blocks in the prefix caches of endpoints
     * @param loads estimates the load of endpoints
     * @param stopping tests whether an endpoint has a planned stop
     * @param ownZone availability zone of this instance
     * @param parameters parameters of the cost estimate
     * @param random returns a random number from 0 (inclusive) to its argument (exclusive);
     *     thread-safe and seeded differently on each instance, otherwise all instances would make
     *     the same choices
     * @param clock monotonic clock
     */
    public ExpectedCostRoutingStrategy(
            Supplier<EndpointTable> endpoints,
            PrefixIndex prefixes,
            LoadEstimator loads,
            Predicate<EndpointId> stopping,
            String ownZone,
            RoutingParameters parameters,
            IntUnaryOperator random,
            MillisClock clock) {
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.stopping = Objects.requireNonNull(stopping, "stopping");
        this.ownZone = Objects.requireNonNull(ownZone, "ownZone");
        this.parameters = Objects.requireNonNull(parameters, "parameters");
        this.random = Objects.requireNonNull(random, "random");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public Optional<EndpointState> choose(RoutingRequest request) {
        List<EndpointState> candidates = candidates(request);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Estimates estimates = estimate(request, candidates);
        int chosen = -1;
        if (request.kind() == WorkKind.GENERATION && !request.excluded().isEmpty()) {
            chosen = randomWeightedByFreeSlots(candidates, estimates);
        } else if (request.prefix().size() > 0 && !estimates.anyCached) {
            chosen = preferredForNewPrefix(request, candidates, estimates);
        }
        if (chosen < 0) {
            chosen = cheaperOfTwoRandom(estimates.costMs);
        }
        EndpointState endpoint = candidates.get(chosen);
        prefixes.recordPlacement(endpoint.id(), endpoint.epochMs(), request.prefix());
        return Optional.of(endpoint);
    }

    /** Returns endpoints with a recent report, or suspected ones if there are no others. */
    private List<EndpointState> candidates(RoutingRequest request) {
        long nowMs = clock.nowMs();
        List<EndpointState> recent = new ArrayList<>();
        List<EndpointState> suspects = new ArrayList<>();
        for (EndpointState endpoint : endpoints.get().ofService(request.service())) {
            long reportAgeMs = nowMs - endpoint.announcedAtMs();
            if (reportAgeMs >= ReportTable.REMOVE_AFTER_MS
                    || request.excluded().contains(endpoint.id())
                    || stopping.test(endpoint.id())
                    || request.pin().isPresent()
                            && !endpoint.models().contains(request.pin().get())) {
                continue;
            }
            (reportAgeMs >= ReportTable.SUSPECT_AFTER_MS ? suspects : recent).add(endpoint);
        }
        return recent.isEmpty() ? suspects : recent;
    }

    /** Estimates for the candidates, in the order of the list of candidates. */
    private static final class Estimates {
        private final double[] load;
        private final double[] costMs;
        private final boolean[] cached;
        private double meanUtilization;
        private boolean anyCached;

        Estimates(double[] load) {
            this.load = load;
            this.costMs = new double[load.length];
            this.cached = new boolean[load.length];
        }
    }

    private Estimates estimate(RoutingRequest request, List<EndpointState> candidates) {
        int size = candidates.size();
        Estimates estimates = new Estimates(loads.estimate(candidates));
        double slotMs =
                request.kind() == WorkKind.GENERATION
                        ? parameters.generationMs()
                        : parameters.requestMs();
        double utilizationSum = 0;
        for (int i = 0; i < size; i++) {
            EndpointState endpoint = candidates.get(i);
            double load = estimates.load[i];
            int slots = slotsOf(endpoint);
            double waitMs =
                    load < slots
                            ? parameters.batchingMs() * load / slots
                            : parameters.batchingMs() + (load - slots + 1) / slots * slotMs;
            int cached = prefixes.cachedBlocks(endpoint.id(), endpoint.epochMs(), request.prefix());
            estimates.cached[i] = cached > 0;
            estimates.anyCached |= cached > 0;
            utilizationSum += load / slots;
            estimates.costMs[i] =
                    waitMs
                            + (request.prefix().size() - cached) * parameters.prefillMsPerBlock()
                            + (endpoint.availabilityZone().equals(ownZone)
                                    ? 0
                                    : parameters.otherZoneMs());
        }
        estimates.meanUtilization = utilizationSum / size;
        return estimates;
    }

    private int slotsOf(EndpointState endpoint) {
        int slots = endpoint.load().slots();
        return slots > 0 ? slots : parameters.defaultSlots();
    }

    /**
     * Returns the index of the first endpoint in rendezvous hash order whose load is within the
     * bound, or -1 if there is none. All instances compute the same order, so the first requests
     * with a new prefix go to the same endpoint.
     */
    private int preferredForNewPrefix(
            RoutingRequest request, List<EndpointState> candidates, Estimates estimates) {
        int best = -1;
        long bestHash = 0;
        for (int i = 0; i < candidates.size(); i++) {
            EndpointState endpoint = candidates.get(i);
            // A load of 1 is always allowed, otherwise an idle service would have no preferred one.
            double bound =
                    Math.max(
                            1,
                            parameters.loadBound() * estimates.meanUtilization * slotsOf(endpoint));
            if (estimates.load[i] > bound) {
                continue;
            }
            long hash =
                    Hashing.xxh3_64()
                            .hashStream()
                            .putString(request.account().value())
                            .putLong(request.prefix().hash(0))
                            .putString(endpoint.id().value())
                            .getAsLong();
            if (best < 0 || Long.compareUnsigned(hash, bestHash) > 0) {
                best = i;
                bestHash = hash;
            }
        }
        return best;
    }

    /**
     * Chooses an endpoint at random, with a probability in proportion to its free slots. All
     * streams of a failed engine are placed again at the same time, and their instances do not know
     * each other's choices yet. The cheapest endpoint would get all of them and queue them, so a
     * cached prefix only increases the probability.
     */
    private int randomWeightedByFreeSlots(List<EndpointState> candidates, Estimates estimates) {
        double[] weights = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            double free =
                    Math.max(FULL_ENDPOINT_WEIGHT, slotsOf(candidates.get(i)) - estimates.load[i]);
            weights[i] = estimates.cached[i] ? free * CACHED_WEIGHT_FACTOR : free;
            sum += weights[i];
        }
        double position = sum * random.applyAsInt(RANDOM_STEPS) / RANDOM_STEPS;
        int chosen = 0;
        while (chosen < weights.length - 1 && position >= weights[chosen]) {
            position -= weights[chosen];
            chosen++;
        }
        return chosen;
    }

    /** Returns the cheaper of two random endpoints whose cost is within tolerance of the lowest. */
    private int cheaperOfTwoRandom(double[] costMs) {
        double lowest = Double.POSITIVE_INFINITY;
        for (double cost : costMs) {
            lowest = Math.min(lowest, cost);
        }
        int[] nearLowest = new int[costMs.length];
        int size = 0;
        for (int i = 0; i < costMs.length; i++) {
            if (costMs[i] <= lowest + parameters.toleranceMs()) {
                nearLowest[size++] = i;
            }
        }
        int first = random.applyAsInt(size);
        if (size == 1) {
            return nearLowest[first];
        }
        int second = random.applyAsInt(size - 1);
        second = second >= first ? second + 1 : second;
        return costMs[nearLowest[second]] < costMs[nearLowest[first]]
                ? nearLowest[second]
                : nearLowest[first];
    }
}

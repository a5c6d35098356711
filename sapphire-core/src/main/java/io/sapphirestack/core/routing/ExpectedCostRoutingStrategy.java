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
 * Chooses by expected cost in milliseconds: queue wait plus prefill of the part of the prompt that
 * is not cached. Thread-safe and lock-free if its collaborators are.
 */
public final class ExpectedCostRoutingStrategy implements RoutingStrategy {
    /** Weight of an endpoint without a free slot, so that one is chosen even if all are full. */
    private static final double FULL_WEIGHT = 0.05;

    /** Small enough that ten streams seldom meet at one endpoint with eight slots. */
    private static final double CACHED_WEIGHT = 2;

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
     * @param endpoints returns the published table
     * @param prefixes prefix index
     * @param loads estimates the load of endpoints
     * @param stopping tells whether an endpoint has a planned stop
     * @param ownZone availability zone of this instance
     * @param parameters estimates
     * @param random returns a random number from 0 to below its argument; thread-safe and different
     *     on each instance, otherwise all would choose alike
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
        Scored scored = score(request, candidates);
        int chosen = -1;
        if (request.kind() == WorkKind.GENERATION && !request.excluded().isEmpty()) {
            chosen = randomByFreeSlots(candidates, scored);
        } else if (request.prefix().size() > 0 && !scored.seen) {
            chosen = preferredForNewPrefix(request, candidates, scored);
        }
        if (chosen < 0) {
            chosen = betterOfTwo(scored.costMs);
        }
        EndpointState endpoint = candidates.get(chosen);
        prefixes.recordPlacement(endpoint.id(), endpoint.epochMs(), request.prefix());
        return Optional.of(endpoint);
    }

    /** Returns endpoints that were heard recently, or the suspects if there is no other. */
    private List<EndpointState> candidates(RoutingRequest request) {
        long nowMs = clock.nowMs();
        List<EndpointState> fresh = new ArrayList<>();
        List<EndpointState> suspects = new ArrayList<>();
        for (EndpointState endpoint : endpoints.get().ofService(request.service())) {
            long silentMs = nowMs - endpoint.heardAtMs();
            if (silentMs >= ReportTable.REMOVE_AFTER_MS
                    || request.excluded().contains(endpoint.id())
                    || stopping.test(endpoint.id())
                    || request.pin().isPresent()
                            && !endpoint.models().contains(request.pin().get())) {
                continue;
            }
            (silentMs >= ReportTable.SUSPECT_AFTER_MS ? suspects : fresh).add(endpoint);
        }
        return fresh.isEmpty() ? suspects : fresh;
    }

    /** Estimates for the candidates, by position. */
    private static final class Scored {
        private final double[] load;
        private final double[] costMs;
        private final boolean[] cached;
        private double meanUse;
        private boolean seen;

        Scored(double[] load) {
            this.load = load;
            this.costMs = new double[load.length];
            this.cached = new boolean[load.length];
        }
    }

    private Scored score(RoutingRequest request, List<EndpointState> candidates) {
        int size = candidates.size();
        Scored scored = new Scored(loads.estimate(candidates));
        double slotMs =
                request.kind() == WorkKind.GENERATION
                        ? parameters.generationMs()
                        : parameters.callMs();
        double useSum = 0;
        for (int i = 0; i < size; i++) {
            EndpointState endpoint = candidates.get(i);
            double load = scored.load[i];
            int slots = slotsOf(endpoint);
            double waitMs =
                    load < slots
                            ? parameters.batchingMs() * load / slots
                            : parameters.batchingMs() + (load - slots + 1) / slots * slotMs;
            int cached = prefixes.cachedBlocks(endpoint.id(), endpoint.epochMs(), request.prefix());
            scored.cached[i] = cached > 0;
            scored.seen |= cached > 0;
            useSum += load / slots;
            scored.costMs[i] =
                    waitMs
                            + (request.prefix().size() - cached) * parameters.prefillMsPerBlock()
                            + (endpoint.availabilityZone().equals(ownZone)
                                    ? 0
                                    : parameters.otherZoneMs());
        }
        scored.meanUse = useSum / size;
        return scored;
    }

    private int slotsOf(EndpointState endpoint) {
        int slots = endpoint.load().slots();
        return slots > 0 ? slots : parameters.defaultSlots();
    }

    /**
     * Returns the first endpoint in rendezvous order whose load is within the bound. All instances
     * compute the same order, so the first requests with a new prefix meet at one endpoint.
     */
    private int preferredForNewPrefix(
            RoutingRequest request, List<EndpointState> candidates, Scored scored) {
        int best = -1;
        long bestHash = 0;
        for (int i = 0; i < candidates.size(); i++) {
            EndpointState endpoint = candidates.get(i);
            // One place is always allowed, otherwise an idle service would have no preferred one.
            double bound = Math.max(1, parameters.loadBound() * scored.meanUse * slotsOf(endpoint));
            if (scored.load[i] > bound) {
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
     * Chooses at random in proportion to the free slots. All streams of a lost engine move at the
     * same moment and cannot see one another, so the cheapest endpoint would get them all and queue
     * them; a cached prefix only raises the chance.
     */
    private int randomByFreeSlots(List<EndpointState> candidates, Scored scored) {
        double[] weights = new double[candidates.size()];
        double sum = 0;
        for (int i = 0; i < weights.length; i++) {
            double free = Math.max(FULL_WEIGHT, slotsOf(candidates.get(i)) - scored.load[i]);
            weights[i] = scored.cached[i] ? free * CACHED_WEIGHT : free;
            sum += weights[i];
        }
        double point = sum * random.applyAsInt(RANDOM_STEPS) / RANDOM_STEPS;
        int chosen = 0;
        while (chosen < weights.length - 1 && point >= weights[chosen]) {
            point -= weights[chosen];
            chosen++;
        }
        return chosen;
    }

    /** Takes the cheaper of two random ones among the nearly cheapest. */
    private int betterOfTwo(double[] costMs) {
        double lowest = Double.POSITIVE_INFINITY;
        for (double cost : costMs) {
            lowest = Math.min(lowest, cost);
        }
        int[] pool = new int[costMs.length];
        int size = 0;
        for (int i = 0; i < costMs.length; i++) {
            if (costMs[i] <= lowest + parameters.toleranceMs()) {
                pool[size++] = i;
            }
        }
        int first = random.applyAsInt(size);
        if (size == 1) {
            return pool[first];
        }
        int second = random.applyAsInt(size - 1);
        second = second >= first ? second + 1 : second;
        return costMs[pool[second]] < costMs[pool[first]] ? pool[second] : pool[first];
    }
}

package io.sapphirestack.core.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.routing.EndpointState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Chooses the endpoint of a relayed request and the endpoint that keeps a standby copy of it.
 *
 * <p>The cost of an endpoint is its work in flight relative to its slots, plus a penalty for its
 * recent error rate. For plain requests, a {@link CompletionEstimator} adapts it where endpoints
 * report their pace. Prompts are not placed by pace and speed: the memory of an engine holds about
 * as many prompts as it has slots, and faster engines that were preferred ran out of it. Many
 * instances decide at the same time from the same reports, so each adds jitter to every cost, up to
 * the weight of the work being placed. Without it they would all choose the same endpoint.
 *
 * <p>Prompts and standby copies are placed at the cheapest of a few randomly sampled endpoints. The
 * reports of other instances are late by several dissemination hops, and prompts take an engine
 * about a second. If all instances chose the cheapest of all endpoints, those that looked idle in
 * the last report would receive every prompt of that time. Answers bursts of prompts after the loss
 * of an availability zone, with 10 to 300 instances that place them. Thread-safe if its
 * collaborators are.
 */
public final class RelayPlacement {

    /** Cost of an endpoint in another availability zone, in requests in flight. */
    static final double OTHER_ZONE_COST = 0.5;

    /** Cost of an error rate of 1, as a multiple of the cost of fully used slots. */
    static final double ERROR_COST = 3.0;

    /** Endpoints that a small fleet samples for a prompt. */
    static final int MAX_SAMPLE = 6;

    /** Endpoints that a large fleet, whose reports are older, samples for a prompt. */
    static final int MIN_SAMPLE = 3;

    /** Number of instances for each of which the sample has one endpoint fewer. */
    static final int INSTANCES_PER_SAMPLE_STEP = 20;

    private final String zone;
    private final ToDoubleFunction<EndpointState> requestsInFlight;
    private final EndpointHealth health;
    private final DoubleSupplier random;
    private final IntSupplier instances;
    private final CompletionEstimator completion;

    /**
     * Creates a placement.
     *
     * @param zone availability zone of this instance
     * @param requestsInFlight returns the work in flight of all instances at an endpoint, converted
     *     to requests
     * @param health endpoint health as observed by this instance
     * @param random returns random numbers from 0 (inclusive) to 1 (exclusive)
     * @param instances returns the number of instances that place work at the endpoints
     * @param completion estimates the cost of an endpoint from its work in flight and its reports
     */
    public RelayPlacement(
            String zone,
            ToDoubleFunction<EndpointState> requestsInFlight,
            EndpointHealth health,
            DoubleSupplier random,
            IntSupplier instances,
            CompletionEstimator completion) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.requestsInFlight = Objects.requireNonNull(requestsInFlight, "requestsInFlight");
        this.health = Objects.requireNonNull(health, "health");
        this.random = Objects.requireNonNull(random, "random");
        this.instances = Objects.requireNonNull(instances, "instances");
        this.completion = Objects.requireNonNull(completion, "completion");
    }

    /**
     * Chooses the endpoint of a request. The endpoints of an availability zone often fail together,
     * so zones in which this request has already failed are used last.
     *
     * @param kind kind of work, which determines its weight
     * @param candidates endpoints of its service that accept new work
     * @param failed endpoints at which this request has failed; used only if no other endpoint is
     *     left
     * @return the endpoint, or empty if there is no candidate
     */
    public Optional<EndpointState> choose(
            RelayWorkKind kind, List<EndpointState> candidates, Collection<EndpointState> failed) {
        Set<EndpointId> failedIds = idsOf(failed);
        Set<String> failedZones = zonesOf(failed);
        Predicate<EndpointState> eligible = e -> isEligible(e, failedIds);
        return cheapest(
                        kind,
                        candidates,
                        eligible.and(e -> !failedZones.contains(e.availabilityZone())))
                .or(() -> cheapest(kind, candidates, eligible))
                .or(() -> cheapest(kind, candidates, e -> !failedIds.contains(e.id())))
                .or(() -> cheapest(kind, candidates, e -> true));
    }

    /**
     * Chooses the endpoint that keeps the standby copy of a stream. It is always in another
     * availability zone than the stream.
     *
     * @param candidates endpoints of the service that accept new work
     * @param running endpoint that runs the stream
     * @param failed endpoints at which this stream has failed
     * @return the endpoint, or empty if no other availability zone has an eligible one
     */
    public Optional<EndpointState> chooseStandby(
            List<EndpointState> candidates,
            EndpointState running,
            Collection<EndpointState> failed) {
        Set<EndpointId> failedIds = idsOf(failed);
        Set<String> failedZones = zonesOf(failed);
        Predicate<EndpointState> eligibleInOtherZone =
                e ->
                        !e.availabilityZone().equals(running.availabilityZone())
                                && isEligible(e, failedIds);
        // A copy may become a running stream after a failover, so it gets the jitter of a prompt.
        return cheapest(
                        RelayWorkKind.PROMPT,
                        candidates,
                        eligibleInOtherZone.and(e -> !failedZones.contains(e.availabilityZone())))
                .or(() -> cheapest(RelayWorkKind.PROMPT, candidates, eligibleInOtherZone));
    }

    /** Returns whether an endpoint is not suspected and the request has not failed there. */
    private boolean isEligible(EndpointState endpoint, Set<EndpointId> failedIds) {
        return !failedIds.contains(endpoint.id()) && !health.isSuspect(endpoint.id());
    }

    private static Set<EndpointId> idsOf(Collection<EndpointState> endpoints) {
        return endpoints.stream().map(EndpointState::id).collect(Collectors.toSet());
    }

    private static Set<String> zonesOf(Collection<EndpointState> endpoints) {
        return endpoints.stream().map(EndpointState::availabilityZone).collect(Collectors.toSet());
    }

    private Optional<EndpointState> cheapest(
            RelayWorkKind kind, List<EndpointState> candidates, Predicate<EndpointState> allowed) {
        List<EndpointState> eligible = candidates.stream().filter(allowed).toList();
        List<EndpointState> compared =
                kind == RelayWorkKind.PROMPT ? sample(eligible, sampleSize()) : eligible;
        return compared.stream()
                .map(endpoint -> new ScoredEndpoint(endpoint, cost(endpoint, kind)))
                .min(Comparator.comparingDouble(ScoredEndpoint::cost))
                .map(ScoredEndpoint::endpoint);
    }

    private int sampleSize() {
        return Math.max(MIN_SAMPLE, MAX_SAMPLE - instances.getAsInt() / INSTANCES_PER_SAMPLE_STEP);
    }

    /** Returns some of the endpoints, each with the same probability. */
    private List<EndpointState> sample(List<EndpointState> endpoints, int size) {
        if (endpoints.size() <= size) {
            return endpoints;
        }
        List<EndpointState> shuffled = new ArrayList<>(endpoints);
        for (int i = 0; i < size; i++) {
            int chosen = i + (int) (random.getAsDouble() * (shuffled.size() - i));
            Collections.swap(shuffled, i, chosen);
        }
        return shuffled.subList(0, size);
    }

    private record ScoredEndpoint(EndpointState endpoint, double cost) {}

    private double cost(EndpointState endpoint, RelayWorkKind kind) {
        double zoneRequests = endpoint.availabilityZone().equals(zone) ? 0 : OTHER_ZONE_COST;
        double jitterRequests = RelayWorkKind.toRequests(kind.weight()) * random.getAsDouble();
        double requests = requestsInFlight.applyAsDouble(endpoint);
        double extraRequests = zoneRequests + jitterRequests;
        double loadCost =
                kind == RelayWorkKind.REQUEST
                        ? completion.cost(endpoint, requests, extraRequests)
                        : (requests + extraRequests) / Math.max(1, endpoint.load().slots());
        return loadCost + ERROR_COST * health.errorRate(endpoint.id());
    }
}

package io.sapphirestack.core.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.routing.EndpointState;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Chooses the endpoint of a relayed request and the endpoint that keeps a standby copy of it.
 *
 * <p>The cost of an endpoint is its work in flight relative to its slots, raised by errors that it
 * answered lately. Many instances decide at the same moment on the same reports, so each adds a
 * random part of the work that it places to every cost and they do not all meet at one endpoint.
 */
public final class RelayPlacement {

    /** Cost of crossing availability zones, in requests. */
    static final double OTHER_ZONE_COST = 0.5;

    /** Cost of an endpoint whose answers all fail, in shares of all slots of an endpoint. */
    static final double ERROR_COST = 3.0;

    private final String zone;
    private final ToDoubleFunction<EndpointState> work;
    private final EndpointHealth health;
    private final DoubleSupplier random;

    /**
     * Creates a strategy.
     *
     * @param zone availability zone of this instance
     * @param work returns the work of the whole fleet in flight at an endpoint, in requests
     * @param health outcomes of own requests
     * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
     */
    public RelayPlacement(
            String zone,
            ToDoubleFunction<EndpointState> work,
            EndpointHealth health,
            DoubleSupplier random) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.work = Objects.requireNonNull(work, "work");
        this.health = Objects.requireNonNull(health, "health");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Chooses where a request runs. The endpoints of one availability zone often fail together, so
     * zones in which this request has failed come last.
     *
     * @param placed what the request will cost its endpoint
     * @param candidates endpoints of its service that take new work
     * @param failed endpoints at which this request has failed; used only if there is no other
     * @return the endpoint, or empty if there is no candidate
     */
    public Optional<EndpointState> choose(
            RelayedWork placed, List<EndpointState> candidates, Collection<EndpointState> failed) {
        Set<EndpointId> ids = idsOf(failed);
        Set<String> zones = zonesOf(failed);
        Predicate<EndpointState> fresh = e -> isFresh(e, ids);
        return best(placed, candidates, fresh.and(e -> !zones.contains(e.availabilityZone())))
                .or(() -> best(placed, candidates, fresh))
                .or(() -> best(placed, candidates, e -> !ids.contains(e.id())))
                .or(() -> best(placed, candidates, e -> true));
    }

    /**
     * Chooses where a standby copy of a stream is kept: in another availability zone than the
     * stream itself.
     *
     * @param candidates endpoints of the service that take new work
     * @param running endpoint where the stream runs
     * @param failed endpoints at which this stream has failed
     * @return the endpoint, or empty if no other zone has one that can be reached
     */
    public Optional<EndpointState> chooseStandby(
            List<EndpointState> candidates,
            EndpointState running,
            Collection<EndpointState> failed) {
        Set<EndpointId> ids = idsOf(failed);
        Set<String> zones = zonesOf(failed);
        Predicate<EndpointState> elsewhere =
                e -> !e.availabilityZone().equals(running.availabilityZone()) && isFresh(e, ids);
        // A copy that is used turns into a running stream, so copies spread as prompts do.
        return best(
                        RelayedWork.PROMPT,
                        candidates,
                        elsewhere.and(e -> !zones.contains(e.availabilityZone())))
                .or(() -> best(RelayedWork.PROMPT, candidates, elsewhere));
    }

    private boolean isFresh(EndpointState endpoint, Set<EndpointId> failed) {
        return !failed.contains(endpoint.id()) && !health.isSuspect(endpoint.id());
    }

    private static Set<EndpointId> idsOf(Collection<EndpointState> endpoints) {
        return endpoints.stream().map(EndpointState::id).collect(Collectors.toSet());
    }

    private static Set<String> zonesOf(Collection<EndpointState> endpoints) {
        return endpoints.stream().map(EndpointState::availabilityZone).collect(Collectors.toSet());
    }

    private Optional<EndpointState> best(
            RelayedWork placed, List<EndpointState> candidates, Predicate<EndpointState> allowed) {
        double spread = RelayedWork.toRequests(placed.units());
        return candidates.stream()
                .filter(allowed)
                .map(endpoint -> new Costed(endpoint, cost(endpoint, spread)))
                .min(Comparator.comparingDouble(Costed::cost))
                .map(Costed::endpoint);
    }

    private record Costed(EndpointState endpoint, double cost) {}

    private double cost(EndpointState endpoint, double spread) {
        double slots = Math.max(1, endpoint.load().slots());
        double zoneCost = endpoint.availabilityZone().equals(zone) ? 0 : OTHER_ZONE_COST;
        return (work.applyAsDouble(endpoint) + zoneCost + spread * random.getAsDouble()) / slots
                + ERROR_COST * health.errorRate(endpoint.id());
    }
}

package io.sapphirestack.core.routing;

import java.util.Optional;

/** Chooses an endpoint. Implementations are thread-safe and take no lock. */
@FunctionalInterface
public interface RoutingStrategy {

    /**
     * Chooses an endpoint that may receive new work: it has a recent report and no planned stop,
     * and has loaded the requested model variant.
     *
     * @param request work to place
     * @return the chosen endpoint, or empty if there is no such endpoint
     */
    Optional<EndpointState> choose(RoutingRequest request);
}

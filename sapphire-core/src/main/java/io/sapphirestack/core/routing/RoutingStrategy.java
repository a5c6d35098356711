package io.sapphirestack.core.routing;

import java.util.Optional;

/** Chooses an endpoint. Implementations are thread-safe and take no lock. */
@FunctionalInterface
public interface RoutingStrategy {

    /**
     * Chooses an endpoint that may get new work: known, heard of recently, not stopping, with the
     * exact model variant.
     *
     * @param request work to place
     * @return the chosen endpoint, or empty if none qualifies
     */
    Optional<EndpointState> choose(RoutingRequest request);
}

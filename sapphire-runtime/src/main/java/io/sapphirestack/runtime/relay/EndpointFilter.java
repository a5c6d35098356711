package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;
import java.util.List;

/** Removes endpoints to which a request must not be sent. Implementations are thread-safe. */
@FunctionalInterface
interface EndpointFilter {

    /** Keeps all endpoints. */
    EndpointFilter ALL = (request, endpoints) -> endpoints;

    /**
     * Returns the endpoints to which a request may be sent.
     *
     * @param request admitted request
     * @param endpoints endpoints of its service that accept new work
     * @return some of them, in the same order; the request is refused as not run if none is left
     */
    List<EndpointState> filter(RelayedRequest request, List<EndpointState> endpoints);

    /**
     * Returns a filter that applies another one to the endpoints that this one keeps.
     *
     * @param next filter that is applied second
     * @return filter that keeps what both keep
     */
    default EndpointFilter and(EndpointFilter next) {
        return (request, endpoints) -> next.filter(request, filter(request, endpoints));
    }
}

package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

/** Endpoints to which a request may be sent. Thread-safe. */
final class RelayCandidates {

    private final Supplier<EndpointTable> endpoints;
    private final EndpointFilter filter;

    RelayCandidates(Supplier<EndpointTable> endpoints, EndpointFilter filter) {
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.filter = Objects.requireNonNull(filter, "filter");
    }

    /**
     * Returns the endpoints to which a request may be sent now.
     *
     * @param request admitted request
     * @return endpoints of its service that no filter removes, possibly none
     */
    List<EndpointState> of(RelayedRequest request) {
        return filter.filter(request, known(request));
    }

    /**
     * Returns the endpoints of the service of a request, also those that a filter removes.
     *
     * @param request admitted request
     * @return endpoints, possibly none
     */
    List<EndpointState> known(RelayedRequest request) {
        return endpoints.get().ofService(request.service().name());
    }
}

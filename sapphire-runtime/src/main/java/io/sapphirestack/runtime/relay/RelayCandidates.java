package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/** Endpoints to which a request may be sent. Thread-safe. */
final class RelayCandidates {

    private static final EventLog LOG = EventLog.of(RelayCandidates.class);

    private final RelayContext context;
    private final EndpointFilter filter;

    RelayCandidates(RelayContext context, EndpointFilter filter) {
        this.context = Objects.requireNonNull(context, "context");
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
        return context.endpoints().get().ofService(request.service().name());
    }

    /**
     * Returns whether an endpoint that was chosen must not be used, because it began to leave or
     * named a back-off meanwhile. Called after the connection is open, immediately before a request
     * is sent.
     *
     * @param request admitted request
     * @param endpoint chosen endpoint
     * @return whether the request must choose again
     */
    boolean isWithdrawn(RelayedRequest request, EndpointState endpoint) {
        if (!context.signals().isBlocked(endpoint)) {
            return false;
        }
        context.metrics().recordReplacedChoice();
        LOG.info(
                "SAP1970",
                "A request chooses again because its endpoint wants no more requests",
                "request",
                request.id(),
                "endpoint",
                endpoint.id());
        return true;
    }

    /**
     * Returns the refusal of a request that has not run and that no endpoint may be sent. If all
     * endpoints of its service are leaving or in back-off, it names the earliest end of a back-off.
     *
     * @param request request
     * @param reason reason in all other cases
     * @param retryAfterMs time after which the caller should come back in all other cases, in
     *     milliseconds
     * @return response that says that the request has not run
     */
    RelayResponse refusal(RelayedRequest request, String reason, long retryAfterMs) {
        List<EndpointState> known = known(request);
        if (known.isEmpty() || !known.stream().allMatch(context.signals()::isBlocked)) {
            return RelayResponse.notRun(reason, retryAfterMs);
        }
        OptionalLong backoffMs = context.signals().retryAfterMs(known);
        context.metrics().recordSignalRefusal();
        LOG.info(
                "SAP1958",
                "A request was refused because all endpoints are leaving or in back-off",
                "request",
                request.id(),
                "service",
                request.service().name(),
                "endpoints",
                known.size(),
                "retryAfterMs",
                backoffMs.orElse(retryAfterMs),
                "ageMs",
                context.clock().nowMs() - request.exchange().receivedAtMs());
        return RelayResponse.notRun(
                "all endpoints are leaving or in back-off", backoffMs.orElse(retryAfterMs));
    }
}

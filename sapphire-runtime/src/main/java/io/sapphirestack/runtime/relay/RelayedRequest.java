package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.TrafficRoute;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A request of a caller with the decisions that were made at its admission.
 *
 * @param exchange request and answer
 * @param id identifier that the caller gave it, empty if it gave none
 * @param route route that selects it
 * @param service service that it is sent to
 * @param account account of the caller, empty on a route that needs no key
 * @param deadlineAtMs when its time is over, by the caller and by the route, on the monotonic clock
 * @param headers names of header fields
 */
record RelayedRequest(
        Exchange exchange,
        String id,
        TrafficRoute route,
        RelayedService service,
        Optional<String> account,
        long deadlineAtMs,
        RelayHeaders headers) {

    long remainingMs(MillisClock clock) {
        return deadlineAtMs - clock.nowMs();
    }

    /** Returns the fields that an endpoint gets, without those of a resumed stream. */
    List<HeaderField> fieldsFor(EndpointState endpoint, MillisClock clock) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderField field : exchange.headers()) {
            if (headers.isForwarded(field.name())) {
                fields.add(field);
            }
        }
        long leftMs = Math.max(1, remainingMs(clock));
        fields.add(new HeaderField(headers.deadlineMs(), Long.toString(leftMs)));
        fields.add(new HeaderField(headers.expectedEndpoint(), endpoint.id().value()));
        account.ifPresent(name -> fields.add(new HeaderField(headers.account(), name)));
        return fields;
    }

    /** Throws if the caller left or the time is over. */
    void check(MillisClock clock, String peer) throws CallerGoneException, RelayTimeoutException {
        if (remainingMs(clock) <= 0) {
            throw new RelayTimeoutException("relay", peer);
        }
        if (exchange.isCallerGone()) {
            throw new CallerGoneException("relay");
        }
    }
}

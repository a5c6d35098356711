package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.relay.HeaderText;
import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.TrafficRoute;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Request of a caller that was admitted, with its route, service and account.
 *
 * @param exchange request and its response
 * @param id identifier set by the caller, empty if there is none
 * @param route route that matched
 * @param service service that the request is sent to
 * @param promptParts shared parts of its prompt
 * @param fingerprint identifies requests of the same content
 * @param priority priority of the client account, otherwise that of the route; 0 is the highest
 * @param account client account of the caller, empty if no key is required and the caller sent none
 *     or an unknown one
 * @param deadline returns the deadline on the monotonic clock, in milliseconds: the earliest of
 *     those of the caller, the route and a planned stop that began meanwhile
 * @param headers names of header fields
 */
record RelayedRequest(
        HttpServerExchange exchange,
        String id,
        TrafficRoute route,
        RelayedService service,
        PromptParts promptParts,
        RequestFingerprint fingerprint,
        int priority,
        Optional<String> account,
        LongSupplier deadline,
        RelayHeaders headers) {

    long deadlineAtMs() {
        return deadline.getAsLong();
    }

    long remainingMs(MillisClock clock) {
        return deadlineAtMs() - clock.nowMs();
    }

    /** Returns the header fields for an endpoint, without those that resume a stream. */
    List<HeaderField> headersFor(EndpointState endpoint, MillisClock clock) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderField field : exchange.headers()) {
            if (headers.isForwarded(field.name())) {
                fields.add(field);
            }
        }
        long remainingMs = Math.max(1, remainingMs(clock));
        fields.add(new HeaderField(headers.deadlineMs(), Long.toString(remainingMs)));
        fields.add(new HeaderField(headers.expectedEndpoint(), endpoint.id().value()));
        account.ifPresent(
                name -> fields.add(new HeaderField(headers.account(), HeaderText.valueOf(name))));
        return fields;
    }

    /**
     * Checks whether the response is still wanted.
     *
     * @throws CallerDisconnectedException if the caller closed its connection
     * @throws RelayTimeoutException if the deadline has passed
     */
    void checkActive(MillisClock clock, String peer)
            throws CallerDisconnectedException, RelayTimeoutException {
        if (remainingMs(clock) <= 0) {
            throw new RelayTimeoutException("relay", peer);
        }
        if (exchange.isCallerDisconnected()) {
            throw new CallerDisconnectedException("relay");
        }
    }
}

package io.sapphirestack.runtime.order;

import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Asks the endpoints of a service whether an order ran. Only a positive answer means anything: the
 * holder may still send. Thread-safe.
 */
final class OrderLookUp {

    // Bounds the time of a look-up when every endpoint is silent.
    private static final int MAX_ENDPOINTS = 3;
    private static final long CONNECT_TIMEOUT_MS = 500;

    private final Supplier<EndpointTable> endpoints;
    private final PlainConnector connector;
    private final MillisClock clock;

    OrderLookUp(Supplier<EndpointTable> endpoints, PlainConnector connector, MillisClock clock) {
        this.endpoints = endpoints;
        this.connector = connector;
        this.clock = clock;
    }

    /**
     * Looks up an order.
     *
     * @param key idempotency key
     * @param spec record of the service
     * @param first endpoint to ask first, if one is known
     * @param deadlineMs latest time to begin an exchange, on the monotonic clock
     * @return the answer if the order ran, otherwise empty
     */
    Optional<PlainAnswer> find(
            OrderKey key, ServiceSpec spec, Optional<EndpointState> first, long deadlineMs) {
        if (!spec.orderLookUpSupported()) {
            return Optional.empty();
        }
        List<String> addresses = new ArrayList<>();
        first.ifPresent(endpoint -> addresses.add(endpoint.address()));
        for (EndpointState endpoint : endpoints.get().ofService(key.service())) {
            if (addresses.size() < MAX_ENDPOINTS && !addresses.contains(endpoint.address())) {
                addresses.add(endpoint.address());
            }
        }
        for (String address : addresses) {
            long leftMs = deadlineMs - clock.nowMs();
            if (leftMs <= 0) {
                return Optional.empty();
            }
            Optional<PlainAnswer> answer =
                    ask(address, key, Math.min(leftMs, spec.readTimeoutMs()));
            if (answer.isPresent()) {
                return answer;
            }
        }
        return Optional.empty();
    }

    private Optional<PlainAnswer> ask(String address, OrderKey key, long timeoutMs) {
        try (PlainConnection connection =
                connector.open(address, Math.min(timeoutMs, CONNECT_TIMEOUT_MS), timeoutMs)) {
            PlainAnswer answer =
                    connection.send("GET", OrderCall.path(key), OrderCall.headers(key), null);
            return answer.status() == 200 ? Optional.of(answer) : Optional.empty();
        } catch (EndpointException e) {
            return Optional.empty();
        }
    }
}

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
 * Queries the endpoints of a service for the outcome of an order. If none is found, the order may
 * still be executed, because the holder of the reservation may still send it. Thread-safe.
 */
final class OrderOutcomeQuery {

    // Limits the duration of a query when no endpoint responds.
    private static final int MAX_ENDPOINTS = 3;
    private static final long CONNECT_TIMEOUT_MS = 500;

    private final Supplier<EndpointTable> endpoints;
    private final PlainConnector connector;
    private final MillisClock clock;

    OrderOutcomeQuery(
            Supplier<EndpointTable> endpoints, PlainConnector connector, MillisClock clock) {
        this.endpoints = endpoints;
        this.connector = connector;
        this.clock = clock;
    }

    /**
     * Queries the outcome of an order.
     *
     * @param key idempotency key
     * @param spec specification of the service
     * @param first endpoint to query first, or empty for none
     * @param deadlineMs latest time at which a request is started, in milliseconds of the monotonic
     *     clock
     * @return response of the service if the order was executed; empty if no executed order was
     *     found or the service does not support such queries
     */
    Optional<PlainResponse> findOutcome(
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
            long remainingMs = deadlineMs - clock.nowMs();
            if (remainingMs <= 0) {
                return Optional.empty();
            }
            Optional<PlainResponse> response =
                    queryEndpoint(address, key, Math.min(remainingMs, spec.readTimeoutMs()));
            if (response.isPresent()) {
                return response;
            }
        }
        return Optional.empty();
    }

    private Optional<PlainResponse> queryEndpoint(String address, OrderKey key, long timeoutMs) {
        try (PlainConnection connection =
                connector.open(address, Math.min(timeoutMs, CONNECT_TIMEOUT_MS), timeoutMs)) {
            PlainResponse response =
                    connection.send(
                            "GET",
                            OrderHttpRequests.path(key),
                            OrderHttpRequests.headers(key),
                            null);
            return response.status() == 200 ? Optional.of(response) : Optional.empty();
        } catch (EndpointException e) {
            return Optional.empty();
        }
    }
}

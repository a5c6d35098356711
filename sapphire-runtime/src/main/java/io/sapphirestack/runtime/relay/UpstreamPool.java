package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.relay.ResponseLimits;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.LongAdder;

/**
 * Pool of idle connections to endpoints, one list for each process of an endpoint, so that a
 * restarted endpoint gets new connections. Thread-safe.
 */
final class UpstreamPool implements AutoCloseable {

    /** Keep-alive timeout of endpoints that do not announce one, in milliseconds. */
    static final long DEFAULT_KEEP_ALIVE_MS = 1_000;

    /**
     * Fraction of the keep-alive timeout for which a connection is reused. The margin avoids
     * sending a request while the endpoint closes the connection.
     */
    static final double KEEP_ALIVE_FRACTION = 0.7;

    /** Connect timeout in milliseconds; enough within one site. */
    static final long CONNECT_TIMEOUT_MS = 250;

    /** Time within which a running endpoint accepts a connection, in milliseconds. */
    private static final long PROBE_TIMEOUT_MS = 120;

    private static final int MAX_IDLE_PER_ENDPOINT = 8;

    private final UpstreamConnection.Environment environment;
    private final Map<PoolKey, Deque<UpstreamConnection>> idleConnections =
            new ConcurrentHashMap<>();
    private final LongAdder openedConnections = new LongAdder();

    UpstreamPool(ResponseLimits limits, MillisClock clock) {
        this.environment =
                new UpstreamConnection.Environment(
                        Objects.requireNonNull(limits, "limits"),
                        ConcurrentHashMap.newKeySet(),
                        Objects.requireNonNull(clock, "clock"));
    }

    private record PoolKey(EndpointId id, long epochMs) {}

    private static PoolKey keyOf(EndpointState endpoint) {
        return new PoolKey(endpoint.id(), endpoint.epochMs());
    }

    /** Returns the number of connection attempts so far, failed ones and probes included. */
    long openedConnections() {
        return openedConnections.sum();
    }

    /**
     * Returns a connection for a request. A request without an identifier gets a new one, because a
     * late response to an earlier request could not be distinguished from its own.
     *
     * @throws UpstreamException if the endpoint cannot be reached; nothing was sent then
     */
    UpstreamConnection acquire(EndpointState endpoint, RelayedRequest request)
            throws UpstreamException {
        Optional<UpstreamConnection> idle =
                request.id().isEmpty() ? Optional.empty() : takeIdle(endpoint, request.id());
        if (idle.isPresent()) {
            return idle.get();
        }
        openedConnections.increment();
        long timeoutMs = Math.min(request.remainingMs(environment.clock()), CONNECT_TIMEOUT_MS);
        return UpstreamConnection.open(endpoint, timeoutMs, environment);
    }

    private Optional<UpstreamConnection> takeIdle(EndpointState endpoint, String requestId) {
        Deque<UpstreamConnection> connections = idleConnections.get(keyOf(endpoint));
        UpstreamConnection connection = connections == null ? null : connections.pollFirst();
        while (connection != null) {
            if (!connection.isUnusableFor(requestId)) {
                return Optional.of(connection);
            }
            connection.close();
            connection = connections.pollFirst();
        }
        return Optional.empty();
    }

    /** Closes the connections that are still sending a request whose deadline has passed. */
    void closeOverdueSends() {
        environment.sending().forEach(UpstreamConnection::closeIfSendIsOverdue);
    }

    /**
     * Opens and closes a connection; returns whether the endpoint accepted it within {@value
     * #PROBE_TIMEOUT_MS} ms.
     */
    boolean probe(EndpointState endpoint) {
        openedConnections.increment();
        try {
            UpstreamConnection connection =
                    UpstreamConnection.open(endpoint, PROBE_TIMEOUT_MS, environment);
            connection.close();
            return true;
        } catch (UpstreamException e) {
            return false;
        }
    }

    /** Returns a connection to the pool if it can be reused, otherwise closes it. */
    void release(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections =
                idleConnections.computeIfAbsent(
                        keyOf(connection.endpoint()), key -> new ConcurrentLinkedDeque<>());
        if (connection.isReusable() && connections.size() < MAX_IDLE_PER_ENDPOINT) {
            connection.markIdle();
            connections.addFirst(connection);
        } else {
            connection.close();
        }
    }

    /** Closes expired connections. */
    void sweep() {
        idleConnections.forEach(
                (key, connections) -> {
                    for (UpstreamConnection c = connections.pollLast();
                            c != null;
                            c = connections.pollLast()) {
                        if (!c.isExpired()) {
                            connections.addLast(c);
                            break;
                        }
                        c.close();
                    }
                });
        idleConnections.values().removeIf(Deque::isEmpty);
    }

    @Override
    public void close() {
        idleConnections
                .values()
                .forEach(connections -> connections.forEach(UpstreamConnection::close));
        idleConnections.clear();
    }
}

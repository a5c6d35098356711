package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.LongAdder;

/** Idle connections to endpoints, by the life of the endpoint. Thread-safe. */
final class UpstreamPool implements AutoCloseable {

    /** Idle time of endpoints that tell none, in milliseconds. */
    static final long DEFAULT_IDLE_MS = 1_000;

    /**
     * Part of the idle time that is used, so that a request does not cross the endpoint's close.
     */
    static final double IDLE_SHARE = 0.7;

    /** Time for opening a connection within a site, in milliseconds. */
    static final long CONNECT_TIMEOUT_MS = 250;

    private static final int MAX_IDLE_PER_ENDPOINT = 8;

    private final MillisClock clock;
    private final Map<Life, Deque<UpstreamConnection>> idle = new ConcurrentHashMap<>();
    private final LongAdder opened = new LongAdder();

    UpstreamPool(MillisClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private record Life(EndpointId id, long epochMs) {}

    private static Life lifeOf(EndpointState endpoint) {
        return new Life(endpoint.id(), endpoint.epochMs());
    }

    /** Returns how many connections were opened. */
    long opened() {
        return opened.sum();
    }

    UpstreamConnection take(EndpointState endpoint, long timeoutMs) throws UpstreamException {
        Deque<UpstreamConnection> connections = idle.get(lifeOf(endpoint));
        UpstreamConnection connection = connections == null ? null : connections.pollFirst();
        while (connection != null) {
            if (!connection.isSpent()) {
                return connection;
            }
            connection.close();
            connection = connections.pollFirst();
        }
        opened.increment();
        return UpstreamConnection.open(endpoint, Math.min(timeoutMs, CONNECT_TIMEOUT_MS), clock);
    }

    /** Opens a new connection, to learn whether the endpoint can be reached, and keeps it. */
    boolean probe(EndpointState endpoint, long timeoutMs) {
        opened.increment();
        try {
            UpstreamConnection connection = UpstreamConnection.open(endpoint, timeoutMs, clock);
            connection.close();
            return true;
        } catch (UpstreamException e) {
            return false;
        }
    }

    /** Keeps a connection for another request if it can be used again, else closes it. */
    void release(UpstreamConnection connection) {
        Deque<UpstreamConnection> connections =
                idle.computeIfAbsent(
                        lifeOf(connection.endpoint()), life -> new ConcurrentLinkedDeque<>());
        if (connection.isReusable() && connections.size() < MAX_IDLE_PER_ENDPOINT) {
            connection.idle();
            connections.addFirst(connection);
        } else {
            connection.close();
        }
    }

    /** Closes connections that were idle for too long. */
    void sweep() {
        idle.forEach(
                (life, connections) -> {
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
        idle.values().removeIf(Deque::isEmpty);
    }

    @Override
    public void close() {
        idle.values().forEach(connections -> connections.forEach(UpstreamConnection::close));
        idle.clear();
    }
}

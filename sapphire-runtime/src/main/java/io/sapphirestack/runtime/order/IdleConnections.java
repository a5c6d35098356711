package io.sapphirestack.runtime.order;

import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Pool of idle connections for reads. Orders must not use it: when a reused connection fails
 * because the endpoint has closed it, it is unknown whether the request was executed. Thread-safe.
 */
final class IdleConnections {

    // Shorter than the idle timeout of common servers, so that a reused connection is rarely closed
    // already.
    private static final long MAX_IDLE_MS = 2_000;
    private static final int MAX_PER_ADDRESS = 8;

    private final MillisClock clock;
    private final Map<String, Deque<IdleConnection>> byAddress = new ConcurrentHashMap<>();

    IdleConnections(MillisClock clock) {
        this.clock = clock;
    }

    /**
     * Removes and returns the most recently used connection to an address, or empty if there is
     * none or it has been idle too long. Expired connections are closed.
     */
    Optional<PlainConnection> take(String address) {
        List<IdleConnection> expired = new ArrayList<>();
        PlainConnection[] taken = new PlainConnection[1];
        byAddress.computeIfPresent(
                address,
                (key, idle) -> {
                    while (!idle.isEmpty() && taken[0] == null) {
                        IdleConnection last = idle.removeLast();
                        if (clock.nowMs() - last.idleSinceMs() < MAX_IDLE_MS) {
                            taken[0] = last.connection();
                        } else {
                            expired.add(last);
                        }
                    }
                    return idle.isEmpty() ? null : idle;
                });
        expired.forEach(entry -> entry.connection().close());
        return Optional.ofNullable(taken[0]);
    }

    /**
     * Returns a connection to the pool, or closes it if the pool already has the maximum number for
     * the address.
     */
    void release(String address, PlainConnection connection) {
        boolean[] pooled = new boolean[1];
        byAddress.compute(
                address,
                (key, idle) -> {
                    Deque<IdleConnection> next = idle == null ? new ArrayDeque<>() : idle;
                    if (next.size() < MAX_PER_ADDRESS) {
                        next.addLast(new IdleConnection(connection, clock.nowMs()));
                        pooled[0] = true;
                    }
                    return next;
                });
        if (!pooled[0]) {
            connection.close();
        }
    }

    /**
     * Closes all idle connections to an address. Called when one of them has failed, because the
     * others probably fail too.
     */
    void closeAll(String address) {
        Deque<IdleConnection> idle = byAddress.remove(address);
        if (idle != null) {
            idle.forEach(entry -> entry.connection().close());
        }
    }

    private record IdleConnection(PlainConnection connection, long idleSinceMs) {}
}

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
 * Idle connections that reads may use again. Only reads: a reused connection can fail after the
 * endpoint has closed it, which leaves open whether the request ran. Thread-safe.
 */
final class IdleConnections {

    // Shorter than the idle timeout of common servers, so that reuse seldom meets a closed one.
    private static final long MAX_IDLE_MS = 2_000;
    private static final int MAX_PER_ADDRESS = 8;

    private final MillisClock clock;
    private final Map<String, Deque<Idle>> byAddress = new ConcurrentHashMap<>();

    IdleConnections(MillisClock clock) {
        this.clock = clock;
    }

    /** Takes the connection that was used last, if one is fresh. */
    Optional<PlainConnection> take(String address) {
        List<Idle> expired = new ArrayList<>();
        PlainConnection[] taken = new PlainConnection[1];
        byAddress.computeIfPresent(
                address,
                (key, idle) -> {
                    while (!idle.isEmpty() && taken[0] == null) {
                        Idle last = idle.removeLast();
                        if (clock.nowMs() - last.sinceMs() < MAX_IDLE_MS) {
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

    /** Keeps a connection, or closes it if there are enough. */
    void keep(String address, PlainConnection connection) {
        boolean[] kept = new boolean[1];
        byAddress.compute(
                address,
                (key, idle) -> {
                    Deque<Idle> next = idle == null ? new ArrayDeque<>() : idle;
                    if (next.size() < MAX_PER_ADDRESS) {
                        next.addLast(new Idle(connection, clock.nowMs()));
                        kept[0] = true;
                    }
                    return next;
                });
        if (!kept[0]) {
            connection.close();
        }
    }

    /** Closes all connections to an address, since others may be as silent as the one that was. */
    void drop(String address) {
        Deque<Idle> idle = byAddress.remove(address);
        if (idle != null) {
            idle.forEach(entry -> entry.connection().close());
        }
    }

    private record Idle(PlainConnection connection, long sinceMs) {}
}

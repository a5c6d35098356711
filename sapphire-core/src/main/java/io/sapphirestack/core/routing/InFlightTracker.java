package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.time.MillisClock;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;

/** Work that this instance has in flight, by endpoint. Thread-safe and lock-free. */
public final class InFlightTracker {
    /**
     * Start times that are kept per endpoint; more placements between two reports count as this.
     */
    private static final int RECENT = 64;

    private final MillisClock clock;
    private final Map<EndpointId, Counter> counters = new ConcurrentHashMap<>();

    /**
     * Creates a tracker.
     *
     * @param clock monotonic clock
     */
    public InFlightTracker(MillisClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private static final class Counter {
        private final AtomicInteger inFlight = new AtomicInteger();
        private final AtomicInteger started = new AtomicInteger();
        private final AtomicLongArray startsMs = new AtomicLongArray(RECENT);

        Counter() {
            for (int i = 0; i < RECENT; i++) {
                startsMs.setPlain(i, Long.MIN_VALUE);
            }
        }
    }

    /**
     * Counts a piece of work as in flight.
     *
     * @param id endpoint that gets it
     * @return permit that ends the work once, however often it is closed
     */
    public DispatchPermit begin(EndpointId id) {
        return begin(id, 1);
    }

    /**
     * Counts work of a given weight as in flight.
     *
     * @param id endpoint that gets it
     * @param units weight of the work
     * @return permit that ends the work once, however often it is closed
     */
    public DispatchPermit begin(EndpointId id, int units) {
        Counter counter = counters.computeIfAbsent(id, key -> new Counter());
        counter.inFlight.addAndGet(units);
        int slot = Math.floorMod(counter.started.getAndIncrement(), RECENT);
        counter.startsMs.setRelease(slot, clock.nowMs());
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                counter.inFlight.addAndGet(-units);
            }
        };
    }

    /**
     * Returns the work in flight to an endpoint.
     *
     * @param id name of the endpoint
     * @return sum of the weights of open permits
     */
    public int inFlight(EndpointId id) {
        Counter counter = counters.get(id);
        return counter == null ? 0 : counter.inFlight.get();
    }

    /**
     * Counts placements after a point in time, for work that a load report does not contain yet.
     *
     * @param id name of the endpoint
     * @param timeMs time on the monotonic clock
     * @return number of placements after it, at most 64
     */
    public int startedSince(EndpointId id, long timeMs) {
        Counter counter = counters.get(id);
        if (counter == null) {
            return 0;
        }
        int count = 0;
        for (int i = 0; i < RECENT; i++) {
            if (counter.startsMs.getAcquire(i) > timeMs) {
                count++;
            }
        }
        return count;
    }

    /** Returns the work in flight by endpoint, without endpoints that have none. */
    public Map<EndpointId, Integer> snapshot() {
        Map<EndpointId, Integer> result = new TreeMap<>();
        counters.forEach(
                (id, counter) -> {
                    int inFlight = counter.inFlight.get();
                    if (inFlight > 0) {
                        result.put(id, inFlight);
                    }
                });
        return result;
    }
}

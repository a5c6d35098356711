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

/** Tracks the work that this instance has in flight, by endpoint. Thread-safe and lock-free. */
public final class InFlightTracker {
    /**
     * Number of start times kept per endpoint. If more work starts between two reports, it counts
     * as this number.
     */
    private static final int MAX_RECENT_STARTS = 64;

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
        private final AtomicLongArray startsMs = new AtomicLongArray(MAX_RECENT_STARTS);

        Counter() {
            for (int i = 0; i < MAX_RECENT_STARTS; i++) {
                startsMs.setPlain(i, Long.MIN_VALUE);
            }
        }
    }

    /**
     * Counts work of weight 1 as in flight.
     *
     * @param id endpoint to which the work is sent
     * @return permit that ends the work when it is closed; closing it again has no effect
     */
    public DispatchPermit begin(EndpointId id) {
        return begin(id, 1);
    }

    /**
     * Counts work of a given weight as in flight.
     *
     * @param id endpoint to which the work is sent
     * @param weight weight of the work
     * @return permit that ends the work when it is closed; closing it again has no effect
     */
    public DispatchPermit begin(EndpointId id, int weight) {
        Counter counter = counters.computeIfAbsent(id, key -> new Counter());
        counter.inFlight.addAndGet(weight);
        int slot = Math.floorMod(counter.started.getAndIncrement(), MAX_RECENT_STARTS);
        counter.startsMs.setRelease(slot, clock.nowMs());
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                counter.inFlight.addAndGet(-weight);
            }
        };
    }

    /**
     * Returns the work in flight at an endpoint.
     *
     * @param id identifier of the endpoint
     * @return sum of the weights of open permits, 0 for an unknown endpoint
     */
    public int inFlight(EndpointId id) {
        Counter counter = counters.get(id);
        return counter == null ? 0 : counter.inFlight.get();
    }

    /**
     * Counts the work that started after a point in time, such as work that a load report does not
     * contain yet.
     *
     * @param id identifier of the endpoint
     * @param timeMs time on the monotonic clock, in milliseconds
     * @return number of starts after it, finished or not, regardless of weight; at most 64
     */
    public int startedSince(EndpointId id, long timeMs) {
        Counter counter = counters.get(id);
        if (counter == null) {
            return 0;
        }
        int count = 0;
        for (int i = 0; i < MAX_RECENT_STARTS; i++) {
            if (counter.startsMs.getAcquire(i) > timeMs) {
                count++;
            }
        }
        return count;
    }

    /** Returns the sum of weights in flight by endpoint, without endpoints that have none. */
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

package io.sapphirestack.core.admission;

import io.sapphirestack.core.time.MillisClock;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Recent times of the requests of each route, as observed by this instance. Addresses load whose
 * work per request changes within minutes. The number of routes is bounded by the traffic plan.
 * Thread-safe.
 */
public final class ServiceTimes {

    /** Length of the window of the longest time, in milliseconds. */
    static final long WINDOW_MS = 10_000;

    /** Weight of a new observation in the mean. */
    static final double MEAN_WEIGHT = 0.05;

    private final MillisClock clock;
    private final Map<String, Times> byRoute = new ConcurrentHashMap<>();

    /**
     * Creates an empty record.
     *
     * @param clock monotonic clock
     */
    public ServiceTimes(MillisClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Observations of one route. Guarded by its monitor. */
    private static final class Times {
        private double meanMs = Double.NaN;
        private long windowStartedAtMs;
        private long longestMs = Long.MIN_VALUE;
        private long previousLongestMs = Long.MIN_VALUE;

        private void advance(long nowMs) {
            if (nowMs - windowStartedAtMs < WINDOW_MS) {
                return;
            }
            boolean adjacent = nowMs - windowStartedAtMs < 2 * WINDOW_MS;
            previousLongestMs = adjacent ? longestMs : Long.MIN_VALUE;
            longestMs = Long.MIN_VALUE;
            windowStartedAtMs = nowMs;
        }
    }

    /**
     * Records one observation.
     *
     * @param route name of the route
     * @param timeMs observed time, in milliseconds, not negative
     */
    public void record(String route, long timeMs) {
        Times times = byRoute.computeIfAbsent(route, key -> new Times());
        synchronized (times) {
            times.advance(clock.nowMs());
            times.longestMs = Math.max(times.longestMs, timeMs);
            times.meanMs =
                    Double.isNaN(times.meanMs)
                            ? timeMs
                            : times.meanMs + MEAN_WEIGHT * (timeMs - times.meanMs);
        }
    }

    /**
     * Returns the longest time of the last 10 to 20 s.
     *
     * @param route name of the route
     * @return time in milliseconds, empty without a recent observation
     */
    public OptionalLong longestMs(String route) {
        Times times = byRoute.get(route);
        if (times == null) {
            return OptionalLong.empty();
        }
        synchronized (times) {
            times.advance(clock.nowMs());
            long longestMs = Math.max(times.longestMs, times.previousLongestMs);
            return longestMs == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(longestMs);
        }
    }

    /**
     * Returns the exponentially weighted mean time.
     *
     * @param route name of the route
     * @return time in milliseconds, empty without an observation
     */
    public OptionalDouble meanMs(String route) {
        Times times = byRoute.get(route);
        if (times == null) {
            return OptionalDouble.empty();
        }
        synchronized (times) {
            return Double.isNaN(times.meanMs)
                    ? OptionalDouble.empty()
                    : OptionalDouble.of(times.meanMs);
        }
    }
}

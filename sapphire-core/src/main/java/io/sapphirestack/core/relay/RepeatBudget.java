package io.sapphirestack.core.relay;

import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * This instance's share of the repeats that a service may get: a part of its own requests in a
 * sliding window, and an equal part of the reserve of the fleet. Shares add up to no more than the
 * whole, so no instance has to ask another one. Thread-safe.
 */
public final class RepeatBudget {

    private final Settings settings;
    private final IntSupplier instances;
    private final MillisClock clock;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Bounds on repeats in one window.
     *
     * @param ratio repeats for each request
     * @param reserve repeats that the whole fleet may make besides
     * @param windowMs length of the window, in milliseconds
     */
    public record Settings(double ratio, double reserve, long windowMs) {}

    /**
     * Creates a budget.
     *
     * @param settings bounds
     * @param instances returns the number of instances that share the reserve
     * @param clock monotonic clock
     */
    public RepeatBudget(Settings settings, IntSupplier instances, MillisClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.instances = Objects.requireNonNull(instances, "instances");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private static final class Window {
        private final Deque<Long> requestsMs = new ArrayDeque<>();
        private final Deque<Long> repeatsMs = new ArrayDeque<>();
    }

    /**
     * Records the first attempt of a request.
     *
     * @param service name of the service
     */
    public synchronized void recordRequest(String service) {
        window(service).requestsMs.add(clock.nowMs());
    }

    /**
     * Takes one repeat out of the budget.
     *
     * @param service name of the service
     * @return whether the repeat may be made
     */
    public synchronized boolean tryRepeat(String service) {
        Window window = window(service);
        if (window.repeatsMs.size() + 1 > allowed(window)) {
            return false;
        }
        window.repeatsMs.add(clock.nowMs());
        return true;
    }

    /**
     * Returns what is left of the budget.
     *
     * @param service name of the service
     * @return repeats that may be made now
     */
    public synchronized int left(String service) {
        Window window = window(service);
        return Math.max(0, (int) allowed(window) - window.repeatsMs.size());
    }

    private double allowed(Window window) {
        return settings.ratio() * window.requestsMs.size()
                + settings.reserve() / Math.max(1, instances.getAsInt());
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, key -> new Window());
        long oldestMs = clock.nowMs() - settings.windowMs();
        trim(window.requestsMs, oldestMs);
        trim(window.repeatsMs, oldestMs);
        return window;
    }

    private static void trim(Deque<Long> timesMs, long oldestMs) {
        while (!timesMs.isEmpty() && timesMs.peekFirst() <= oldestMs) {
            timesMs.removeFirst();
        }
    }
}

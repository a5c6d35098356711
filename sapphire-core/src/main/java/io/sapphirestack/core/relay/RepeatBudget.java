package io.sapphirestack.core.relay;

import io.sapphirestack.core.limit.RepeatUse;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;

/**
 * Repeats that this instance may make of the requests for a service, out of one budget of the whole
 * fleet: a part of the requests in a sliding window, and a reserve.
 *
 * <p>Each instance has a share: that part of its own requests, and an equal part of the reserve.
 * Failures do not come in equal shares, so instances that know each other's use take from one pool
 * while it is less than {@value #POOL_PART} used, and keep the rest of the budget in shares. What
 * others used lately and is not known yet, has to fit into that rest. Thread-safe.
 */
public final class RepeatBudget {

    /** Part of the budget that is common to all instances that know each other's use. */
    static final double POOL_PART = 0.6;

    private final Settings settings;
    private final IntSupplier instances;
    private final Function<String, Optional<RepeatUse>> others;
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
     * Creates the budget of an instance that does not know the use of others.
     *
     * @param settings bounds
     * @param instances returns the number of instances that share the reserve
     * @param clock monotonic clock
     */
    public RepeatBudget(Settings settings, IntSupplier instances, MillisClock clock) {
        this(settings, instances, service -> Optional.empty(), clock);
    }

    /**
     * Creates a budget.
     *
     * @param settings bounds
     * @param instances returns the number of instances that share the reserve
     * @param others returns the use of a service by all other instances, empty if it is not known
     * @param clock monotonic clock
     */
    public RepeatBudget(
            Settings settings,
            IntSupplier instances,
            Function<String, Optional<RepeatUse>> others,
            MillisClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.instances = Objects.requireNonNull(instances, "instances");
        this.others = Objects.requireNonNull(others, "others");
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
        if (window.repeatsMs.size() + 1 > allowed(service, window)) {
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
        return Math.max(0, (int) allowed(service, window) - window.repeatsMs.size());
    }

    /** Returns the use of each service by this instance within the window. */
    public synchronized Map<String, RepeatUse> ownUse() {
        Map<String, RepeatUse> use = new HashMap<>();
        for (String service : List.copyOf(windows.keySet())) {
            Window window = window(service);
            use.put(service, new RepeatUse(1, window.requestsMs.size(), window.repeatsMs.size()));
        }
        return use;
    }

    /** Returns how many repeats this instance may have made within the window. */
    private double allowed(String service, Window window) {
        int all = Math.max(1, instances.getAsInt());
        int own = window.requestsMs.size();
        double share = settings.ratio() * own + settings.reserve() / all;
        Optional<RepeatUse> other = others.apply(service);
        if (other.isEmpty()) {
            return share;
        }
        // An instance that hears of few others counts on their part of the reserve only.
        double heardPart = Math.min(1, (1.0 + other.get().instances()) / all);
        double whole =
                settings.ratio() * (own + other.get().requests()) + settings.reserve() * heardPart;
        double pool = POOL_PART * whole - other.get().repeats();
        return Math.max(pool, (1 - POOL_PART) * share);
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

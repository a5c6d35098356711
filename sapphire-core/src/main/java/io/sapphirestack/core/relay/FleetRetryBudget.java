package io.sapphirestack.core.relay;

import io.sapphirestack.core.limit.RetryUsage;
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
 * Limits the retries of this instance, per service, by a budget of the whole fleet: a ratio of the
 * requests in a sliding window plus a fixed reserve.
 *
 * <p>The share of an instance is that ratio of its own requests plus an equal part of the reserve.
 * Failures are not distributed evenly over the instances. Instances that know each other's usage
 * therefore take retries from a shared pool of {@value #SHARED_POOL_FRACTION} of the fleet's
 * budget. An instance that finds the pool empty still has a small part of its own share. The rest
 * of the budget covers recent retries of other instances that are not known here yet, and of
 * instances that have restarted and forgotten them. Thread-safe.
 */
public final class FleetRetryBudget {

    /** Fraction of the budget in the shared pool of all instances that know each other's usage. */
    static final double SHARED_POOL_FRACTION = 0.8;

    /** Fraction of its own share that an instance may use although the shared pool is empty. */
    static final double OWN_SHARE_FRACTION = 0.15;

    /**
     * Age of the own requests that a share is computed from, in milliseconds: about that of the
     * requests of others. Otherwise all shares would grow at once at the start of a burst.
     */
    static final long SHARE_LAG_MS = 500;

    /** Requests assumed for each instance, so that a few requests do not change its share much. */
    static final double SHARE_PRIOR_REQUESTS = 2;

    private final Settings settings;
    private final IntSupplier instances;
    private final Function<String, Optional<RetryUsage>> others;
    private final MillisClock clock;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Limits on the retries in one window.
     *
     * @param ratio allowed retries per request
     * @param reserve retries that the whole fleet may make in addition
     * @param windowMs length of the sliding window, in milliseconds
     */
    public record Settings(double ratio, double reserve, long windowMs) {}

    /**
     * Creates the budget of an instance that does not know the usage of others.
     *
     * @param settings limits
     * @param instances returns the number of instances that share the reserve
     * @param clock monotonic clock
     */
    public FleetRetryBudget(Settings settings, IntSupplier instances, MillisClock clock) {
        this(settings, instances, service -> Optional.empty(), clock);
    }

    /**
     * Creates a budget.
     *
     * @param settings limits
     * @param instances returns the number of instances that share the reserve
     * @param others returns the usage of all other instances for a service name; empty if unknown
     * @param clock monotonic clock
     */
    public FleetRetryBudget(
            Settings settings,
            IntSupplier instances,
            Function<String, Optional<RetryUsage>> others,
            MillisClock clock) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.instances = Objects.requireNonNull(instances, "instances");
        this.others = Objects.requireNonNull(others, "others");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private static final class Window {
        private final Deque<Long> requestsAtMs = new ArrayDeque<>();
        private final Deque<Long> retriesAtMs = new ArrayDeque<>();
    }

    /**
     * Records the first attempt of a request.
     *
     * @param service name of the service
     */
    public synchronized void recordRequest(String service) {
        window(service).requestsAtMs.add(clock.nowMs());
    }

    /**
     * Takes one retry out of the budget if one is left.
     *
     * @param service name of the service
     * @return whether the retry may be made
     */
    public synchronized boolean tryRetry(String service) {
        Window window = window(service);
        if (window.retriesAtMs.size() + 1 > allowed(service, window)) {
            return false;
        }
        window.retriesAtMs.add(clock.nowMs());
        return true;
    }

    /**
     * Returns the remaining budget of this instance.
     *
     * @param service name of the service
     * @return number of retries that may be made now, not negative
     */
    public synchronized int remaining(String service) {
        Window window = window(service);
        return Math.max(0, (int) allowed(service, window) - window.retriesAtMs.size());
    }

    /**
     * Returns the share of this instance in the requests for a service that callers sent to all
     * instances within the window. The shares of all instances add up to about 1.
     *
     * @param service name of the service
     * @return share from 0 to 1; an equal part if no request is known
     */
    public synchronized double requestShare(String service) {
        int instanceCount = Math.max(1, instances.getAsInt());
        RetryUsage known = others.apply(service).orElse(RetryUsage.NONE);
        long latestMs = clock.nowMs() - SHARE_LAG_MS;
        long ownRequests =
                window(service).requestsAtMs.stream().filter(atMs -> atMs <= latestMs).count();
        // Instances whose usage is not known are assumed to have as many requests as the others.
        double unknownFactor = Math.max(1, instanceCount / (1.0 + known.instances()));
        double allRequests = (ownRequests + known.requests()) * unknownFactor;
        return (ownRequests + SHARE_PRIOR_REQUESTS)
                / (allRequests + SHARE_PRIOR_REQUESTS * instanceCount);
    }

    /** Returns the usage by this instance within the window, by service name. */
    public synchronized Map<String, RetryUsage> localUsage() {
        Map<String, RetryUsage> usage = new HashMap<>();
        for (String service : List.copyOf(windows.keySet())) {
            Window window = window(service);
            usage.put(
                    service,
                    new RetryUsage(1, window.requestsAtMs.size(), window.retriesAtMs.size()));
        }
        return usage;
    }

    /** Returns the number of retries allowed to this instance within the window. */
    private double allowed(String service, Window window) {
        int instanceCount = Math.max(1, instances.getAsInt());
        int ownRequests = window.requestsAtMs.size();
        double share = settings.ratio() * ownRequests + settings.reserve() / instanceCount;
        Optional<RetryUsage> othersUsage = others.apply(service);
        if (othersUsage.isEmpty()) {
            return share;
        }
        // Counts the reserve only for instances whose usage is known.
        double knownFraction = Math.min(1, (1.0 + othersUsage.get().instances()) / instanceCount);
        double fleetBudget =
                settings.ratio() * (ownRequests + othersUsage.get().requests())
                        + settings.reserve() * knownFraction;
        double sharedPool = SHARED_POOL_FRACTION * fleetBudget - othersUsage.get().retries();
        return Math.max(sharedPool, OWN_SHARE_FRACTION * share);
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, key -> new Window());
        long oldestMs = clock.nowMs() - settings.windowMs();
        trim(window.requestsAtMs, oldestMs);
        trim(window.retriesAtMs, oldestMs);
        return window;
    }

    private static void trim(Deque<Long> timesMs, long oldestMs) {
        while (!timesMs.isEmpty() && timesMs.peekFirst() <= oldestMs) {
            timesMs.removeFirst();
        }
    }
}

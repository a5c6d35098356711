package io.sapphirestack.core.relay;

import io.sapphirestack.core.limit.NamedRateLimits;
import io.sapphirestack.core.limit.RateLimitTable;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Keeps the requests of all instances to an endpoint within the rate limit that it names. The
 * instances share the limit in proportion to the requests that their callers send, which each knows
 * from the use of the retry budgets; no instance asks another one before it sends.
 *
 * <p>Each instance divides time into slots of {@value #SLOT_MS} ms, which begin at a random moment,
 * and gets the permits for its share of a slot. Permits that are not used in their slot expire:
 * with saved permits, a burst of callers at many instances would exceed the limit many times.
 * Answers fleets of 10 to 300 instances whose share of a limit is less than one request per slot.
 * Thread-safe.
 */
public final class EndpointRateLimiter {

    /** Length of a slot, in milliseconds. */
    static final long SLOT_MS = 2_000;

    /** Shortest time after which a refused caller is asked to come back, in milliseconds. */
    static final long MIN_RETRY_AFTER_MS = 100;

    private static final double MILLI_PER_UNIT = 1_000;
    private static final double MS_PER_S = 1_000;

    private final NamedRateLimits named;
    private final Supplier<RateLimitTable> others;
    private final ToDoubleFunction<String> share;
    private final DoubleSupplier random;
    private final MillisClock clock;
    private final Map<Integer, Slot> slots = new HashMap<>();

    /**
     * Creates a limiter.
     *
     * @param named limits named to this instance
     * @param others returns the limits named to other instances
     * @param share returns the share of this instance in the requests for a service, from 0 to 1
     * @param random returns random numbers from 0 (inclusive) to 1 (exclusive)
     * @param clock monotonic clock
     */
    public EndpointRateLimiter(
            NamedRateLimits named,
            Supplier<RateLimitTable> others,
            ToDoubleFunction<String> share,
            DoubleSupplier random,
            MillisClock clock) {
        this.named = Objects.requireNonNull(named, "named");
        this.others = Objects.requireNonNull(others, "others");
        this.share = Objects.requireNonNull(share, "share");
        this.random = Objects.requireNonNull(random, "random");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Permits of one endpoint in the current slot. */
    private static final class Slot {
        private long endsAtMs;
        private int permits;
        private double fraction;
    }

    /** Returns the limits named to this instance; responses are recorded there. */
    public NamedRateLimits named() {
        return named;
    }

    /**
     * Returns the endpoints to which a request may be sent now.
     *
     * @param endpoints endpoints of one service
     * @return those without a limit or with a permit left, in the same order
     */
    public List<EndpointState> admissible(List<EndpointState> endpoints) {
        if (isUnlimited()) {
            return endpoints;
        }
        return endpoints.stream().filter(this::hasPermit).toList();
    }

    private boolean isUnlimited() {
        return named.isEmpty() && others.get().isEmpty();
    }

    private synchronized boolean hasPermit(EndpointState endpoint) {
        int handle = handleOf(endpoint);
        OptionalInt milliPerS = limitOf(handle);
        if (milliPerS.isEmpty()) {
            slots.remove(handle);
            return true;
        }
        return currentSlot(handle, milliPerS.getAsInt(), endpoint.service()).permits > 0;
    }

    /**
     * Takes a permit for a request to an endpoint, if one is left.
     *
     * @param endpoint endpoint
     * @return whether the request may be sent
     */
    public synchronized boolean tryAcquire(EndpointState endpoint) {
        if (isUnlimited()) {
            return true;
        }
        if (!hasPermit(endpoint)) {
            return false;
        }
        take(endpoint);
        return true;
    }

    /**
     * Takes a permit for a request that must be sent, because it continues one that has begun. If
     * none is left, the next slots have fewer.
     *
     * @param endpoint endpoint
     */
    public synchronized void acquire(EndpointState endpoint) {
        if (!isUnlimited()) {
            hasPermit(endpoint);
            take(endpoint);
        }
    }

    private void take(EndpointState endpoint) {
        Slot slot = slots.get(handleOf(endpoint));
        if (slot != null) {
            slot.permits--;
        }
    }

    /**
     * Returns the time until one of the endpoints may have a permit again.
     *
     * @param endpoints endpoints without a permit
     * @return time in milliseconds, at least {@link #MIN_RETRY_AFTER_MS}
     */
    public synchronized long retryAfterMs(List<EndpointState> endpoints) {
        long nowMs = clock.nowMs();
        long nextSlotMs =
                endpoints.stream()
                        .map(endpoint -> slots.get(handleOf(endpoint)))
                        .filter(Objects::nonNull)
                        .mapToLong(slot -> slot.endsAtMs - nowMs)
                        .min()
                        .orElse(MIN_RETRY_AFTER_MS);
        return Math.max(MIN_RETRY_AFTER_MS, nextSlotMs);
    }

    private static int handleOf(EndpointState endpoint) {
        return MergedEndpointState.handleOf(endpoint.id(), endpoint.epochMs());
    }

    private OptionalInt limitOf(int handle) {
        OptionalInt own = named.limitOf(handle);
        OptionalInt other = others.get().of(handle);
        if (own.isEmpty() || other.isEmpty()) {
            return own.isPresent() ? own : other;
        }
        return OptionalInt.of(Math.min(own.getAsInt(), other.getAsInt()));
    }

    private Slot currentSlot(int handle, int milliPerS, String service) {
        long nowMs = clock.nowMs();
        Slot slot = slots.get(handle);
        if (slot == null) {
            slot = new Slot();
            slot.endsAtMs = nowMs + 1 + (long) (random.getAsDouble() * SLOT_MS);
            slots.put(handle, slot);
            refill(slot, milliPerS, service, slot.endsAtMs - nowMs, random.getAsDouble());
        } else if (nowMs >= slot.endsAtMs) {
            boolean isNext = nowMs < slot.endsAtMs + SLOT_MS;
            slot.endsAtMs += SLOT_MS * (1 + (nowMs - slot.endsAtMs) / SLOT_MS);
            double fraction = isNext ? slot.fraction : random.getAsDouble();
            refill(slot, milliPerS, service, SLOT_MS, fraction);
        }
        return slot;
    }

    /** Replaces the permits that are left; what was taken in advance is kept as a debt. */
    private void refill(Slot slot, int milliPerS, String service, long lengthMs, double fraction) {
        double limitPerS = milliPerS / MILLI_PER_UNIT;
        double quota = limitPerS * share.applyAsDouble(service) * lengthMs / MS_PER_S + fraction;
        int permits = (int) quota;
        slot.fraction = quota - permits;
        slot.permits = Math.min(0, slot.permits) + permits;
    }
}

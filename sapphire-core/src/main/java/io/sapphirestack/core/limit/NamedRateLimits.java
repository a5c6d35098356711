package io.sapphirestack.core.limit;

import io.sapphirestack.core.time.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Rate limits that endpoints name in their responses, as observed by this instance. A limit ends
 * with a response that names none, or when no response has named it for {@value #VALIDITY_MS} ms.
 * Thread-safe.
 */
public final class NamedRateLimits {

    /** Time for which a limit holds after the last response that named it, in milliseconds. */
    public static final long VALIDITY_MS = 5_000;

    private static final int MAX_DIGITS = 6;
    private static final int MILLI = 1_000;

    private final MillisClock clock;
    private final Map<Integer, Observation> byEndpoint = new ConcurrentHashMap<>();

    /**
     * Creates an object without limits.
     *
     * @param clock monotonic clock
     */
    public NamedRateLimits(MillisClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    private record Observation(int milliPerS, long receivedAtMs) {}

    /** How a response changed what is known of the limit of its endpoint. */
    public enum Change {
        /** No limit, or the same one as before. */
        NONE,
        /** The endpoint names a limit that was not known. */
        NAMED,
        /** The endpoint no longer names its limit. */
        ENDED
    }

    /**
     * Parses a rate limit.
     *
     * @param value decimal number of requests per second
     * @return thousandths of a request per second; empty if the value is malformed
     */
    public static OptionalInt parseMilliPerS(String value) {
        String text = value.trim();
        return text.matches("[0-9]{1," + MAX_DIGITS + "}(\\.[0-9]{1,30})?")
                ? OptionalInt.of((int) (Double.parseDouble(text) * MILLI))
                : OptionalInt.empty();
    }

    /**
     * Records that a response names a limit.
     *
     * @param endpointHandle handle of the process that sent it
     * @param milliPerS limit in thousandths of a request per second
     * @return whether the limit is new or has changed
     */
    public Change recordLimit(int endpointHandle, int milliPerS) {
        Observation previous =
                byEndpoint.put(endpointHandle, new Observation(milliPerS, clock.nowMs()));
        boolean known = previous != null && previous.milliPerS() == milliPerS;
        return known && isValid(previous) ? Change.NONE : Change.NAMED;
    }

    /**
     * Records that a response names no limit. Responses on different connections may overtake each
     * other, so it counts only if its request was sent after the last response with a limit.
     *
     * @param endpointHandle handle of the process that sent it
     * @param sentAtMs time at which the request was sent, on the clock of this object
     * @return whether a limit has ended
     */
    public Change recordNoLimit(int endpointHandle, long sentAtMs) {
        Observation known = byEndpoint.get(endpointHandle);
        if (known == null || sentAtMs < known.receivedAtMs()) {
            return Change.NONE;
        }
        return byEndpoint.remove(endpointHandle, known) ? Change.ENDED : Change.NONE;
    }

    private boolean isValid(Observation observation) {
        return clock.nowMs() - observation.receivedAtMs() < VALIDITY_MS;
    }

    /** Returns whether no limit is known. */
    public boolean isEmpty() {
        return byEndpoint.isEmpty();
    }

    /**
     * Returns the limit of an endpoint.
     *
     * @param endpointHandle handle of its process
     * @return thousandths of a request per second, empty if no limit is in force
     */
    public OptionalInt limitOf(int endpointHandle) {
        Observation known = byEndpoint.get(endpointHandle);
        return known != null && isValid(known)
                ? OptionalInt.of(known.milliPerS())
                : OptionalInt.empty();
    }

    /** Returns the limits in force, in thousandths of a request per second, by endpoint handle. */
    public Map<Integer, Integer> current() {
        byEndpoint.values().removeIf(observation -> !isValid(observation));
        Map<Integer, Integer> limits = new HashMap<>();
        byEndpoint.forEach((handle, observation) -> limits.put(handle, observation.milliPerS()));
        return limits;
    }
}

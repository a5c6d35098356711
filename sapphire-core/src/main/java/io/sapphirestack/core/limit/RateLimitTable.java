package io.sapphirestack.core.limit;

import java.util.Map;
import java.util.OptionalInt;

/**
 * Rate limits that endpoints have named to other instances. Immutable.
 *
 * @param milliPerSByHandle limits in thousandths of a request per second, by endpoint handle
 */
public record RateLimitTable(Map<Integer, Integer> milliPerSByHandle) {

    /** Empty table. */
    public static final RateLimitTable EMPTY = new RateLimitTable(Map.of());

    /** Takes an immutable copy of the map. */
    public RateLimitTable {
        milliPerSByHandle = Map.copyOf(milliPerSByHandle);
    }

    /** Returns whether there is no limit. */
    public boolean isEmpty() {
        return milliPerSByHandle.isEmpty();
    }

    /**
     * Returns the limit of an endpoint.
     *
     * @param endpointHandle handle of its process
     * @return thousandths of a request per second, empty if it has no limit
     */
    public OptionalInt of(int endpointHandle) {
        Integer limit = milliPerSByHandle.get(endpointHandle);
        return limit == null ? OptionalInt.empty() : OptionalInt.of(limit);
    }
}

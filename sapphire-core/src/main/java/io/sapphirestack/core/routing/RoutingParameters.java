package io.sapphirestack.core.routing;

/**
 * Parameters that convert load and prompt length into the expected cost of sending a request to an
 * endpoint. All times and costs are in milliseconds. A slot is the capacity of an endpoint to
 * execute one request at a time.
 *
 * @param prefillMsPerBlock prefill time of one prompt block of 1,024 bytes that is not cached
 * @param generationMs expected time that a generation occupies a slot
 * @param requestMs expected time that an order or a read request occupies a slot
 * @param batchingMs expected delay of a new request at an endpoint whose slots are all in use but
 *     that has no queue
 * @param defaultSlots slots assumed for an endpoint that does not report any
 * @param otherZoneMs extra round-trip latency of an endpoint in another availability zone
 * @param toleranceMs endpoints whose cost exceeds the lowest by at most this are treated as equal
 * @param loadBound load per slot, as a multiple of the mean load per slot, above which an endpoint
 *     is not chosen as the preferred endpoint of a prompt prefix that no endpoint has cached; at
 *     least 1
 */
public record RoutingParameters(
        double prefillMsPerBlock,
        double generationMs,
        double requestMs,
        double batchingMs,
        int defaultSlots,
        double otherZoneMs,
        double toleranceMs,
        double loadBound) {

    /**
     * Default parameters: prefill of about 10,000 tokens/s, generations of 20 s, other requests of
     * 20 ms, and 1.5 ms between availability zones in each direction.
     */
    public static final RoutingParameters DEFAULT =
            new RoutingParameters(25, 20_000, 20, 200, 8, 3, 50, 1.25);

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if {@code generationMs} or {@code requestMs} is not
     *     positive, another time is negative, or {@code defaultSlots} or {@code loadBound} is below
     *     1
     */
    public RoutingParameters {
        if (!(prefillMsPerBlock >= 0 && generationMs > 0 && requestMs > 0 && batchingMs >= 0)
                || defaultSlots < 1
                || !(otherZoneMs >= 0 && toleranceMs >= 0 && loadBound >= 1)) {
            throw new IllegalArgumentException(
                    "generationMs and requestMs must be positive, other times must not be negative,"
                            + " defaultSlots and loadBound must be at least 1");
        }
    }
}

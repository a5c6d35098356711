package io.sapphirestack.core.routing;

/**
 * Estimates that turn load and prompt length into milliseconds.
 *
 * @param prefillMsPerBlock time to compute one prompt block of 1,024 bytes that is not cached
 * @param generationMs time that a generation occupies a slot
 * @param callMs time that an order or a read occupies a slot
 * @param batchingMs time that a fully used but not overloaded endpoint adds to new work
 * @param defaultSlots slots assumed for an endpoint that does not report any
 * @param otherZoneMs extra latency of an endpoint in another availability zone
 * @param toleranceMs endpoints whose cost is this close to the lowest count as equally good
 * @param loadBound load, as a multiple of the mean, above which the preferred endpoint of a new
 *     prefix is passed over
 */
public record RoutingParameters(
        double prefillMsPerBlock,
        double generationMs,
        double callMs,
        double batchingMs,
        int defaultSlots,
        double otherZoneMs,
        double toleranceMs,
        double loadBound) {

    /**
     * Default estimates: prefill of about 10,000 tokens/s, generations of 20 s, calls of 20 ms, and
     * 1.5 ms between availability zones in each direction.
     */
    public static final RoutingParameters DEFAULT =
            new RoutingParameters(25, 20_000, 20, 200, 8, 3, 50, 1.25);

    /** Checks the components. */
    public RoutingParameters {
        if (!(prefillMsPerBlock >= 0 && generationMs > 0 && callMs > 0 && batchingMs >= 0)
                || defaultSlots < 1
                || !(otherZoneMs >= 0 && toleranceMs >= 0 && loadBound >= 1)) {
            throw new IllegalArgumentException("estimates must be positive and loadBound >= 1");
        }
    }
}

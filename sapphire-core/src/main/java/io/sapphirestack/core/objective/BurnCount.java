package io.sapphirestack.core.objective;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Event counts of one service and objective.
 *
 * @param service name of the service
 * @param objective objective that the events count for
 * @param windows number of events by window
 * @param causes number of bad events by the identifier of the log event that explains them
 */
public record BurnCount(
        String service,
        Objective objective,
        Map<BurnWindow, EventCount> windows,
        Map<String, Long> causes) {

    /** Orders by service, then by objective. */
    public static final Comparator<BurnCount> ORDER =
            Comparator.comparing(BurnCount::service).thenComparing(BurnCount::objective);

    /** Copies the maps. */
    public BurnCount {
        windows = new TreeMap<>(windows);
        causes = new TreeMap<>(causes);
    }

    /**
     * Adds the counts of another instance.
     *
     * @param other counts of the same service and objective
     * @return the sum
     * @throws IllegalArgumentException if the service or the objective differs
     */
    public BurnCount plus(BurnCount other) {
        if (ORDER.compare(this, other) != 0) {
            throw new IllegalArgumentException(
                    "cannot add counts of different services or objectives");
        }
        Map<BurnWindow, EventCount> windowSums = new TreeMap<>(windows);
        other.windows.forEach((window, count) -> windowSums.merge(window, count, EventCount::plus));
        Map<String, Long> causeSums = new TreeMap<>(causes);
        other.causes.forEach((cause, count) -> causeSums.merge(cause, count, Long::sum));
        return new BurnCount(service, objective, windowSums, causeSums);
    }
}

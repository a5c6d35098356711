package io.sapphirestack.core.objective;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of one service and objective.
 *
 * @param service name of the service
 * @param objective what is counted
 * @param windows events in each window
 * @param causes bad events by the log event that explains them
 */
public record BurnCount(
        String service,
        Objective objective,
        Map<BurnWindow, EventCount> windows,
        Map<String, Long> causes) {

    /** Order by service, then objective. */
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
     */
    public BurnCount plus(BurnCount other) {
        if (ORDER.compare(this, other) != 0) {
            throw new IllegalArgumentException("counts of different objectives cannot be added");
        }
        Map<BurnWindow, EventCount> windowSums = new TreeMap<>(windows);
        other.windows.forEach((window, count) -> windowSums.merge(window, count, EventCount::plus));
        Map<String, Long> causeSums = new TreeMap<>(causes);
        other.causes.forEach((cause, count) -> causeSums.merge(cause, count, Long::sum));
        return new BurnCount(service, objective, windowSums, causeSums);
    }
}

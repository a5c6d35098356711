package io.sapphirestack.core.objective;

import java.util.Map;

/**
 * Burn of the error budget of one service and objective. A burn rate of 1 spends the budget exactly
 * in its window.
 *
 * @param service name of the service
 * @param objective what is measured
 * @param target share of good events that is promised
 * @param good good events in the longest window
 * @param bad bad events in the longest window
 * @param budgetLeft share of the error budget of the longest window that is left; negative if
 *     overspent
 * @param burnRates burn rate by window
 * @param alert state that follows from the burn rates
 * @param causes bad events by the log event that explains them
 */
public record BurnLine(
        String service,
        Objective objective,
        double target,
        long good,
        long bad,
        double budgetLeft,
        Map<BurnWindow, Double> burnRates,
        Alert alert,
        Map<String, Long> causes) {

    private static final double FAST_RATE = 14.4;
    private static final double SLOW_RATE = 6;

    /** How urgent a burn is. */
    public enum Alert {
        /** Within the budget. */
        NONE,
        /** Burns over hours. */
        SLOW,
        /** Burns within the hour. */
        FAST
    }

    /**
     * Computes the burn from counts.
     *
     * @param count counts, added over the instances
     * @param target share of good events that is promised, between 0 and 1, exclusive
     * @return the burn
     */
    public static BurnLine of(BurnCount count, double target) {
        Map<BurnWindow, Double> rates = new java.util.TreeMap<>();
        for (BurnWindow window : BurnWindow.values()) {
            EventCount events = count.windows().getOrDefault(window, new EventCount(0, 0));
            rates.put(window, events.badShare() / (1 - target));
        }
        EventCount all = count.windows().getOrDefault(BurnWindow.SIX_HOURS, new EventCount(0, 0));
        return new BurnLine(
                count.service(),
                count.objective(),
                target,
                all.good(),
                all.bad(),
                1 - rates.get(BurnWindow.SIX_HOURS),
                rates,
                alert(rates),
                count.causes());
    }

    private static Alert alert(Map<BurnWindow, Double> rates) {
        if (rates.get(BurnWindow.ONE_HOUR) >= FAST_RATE
                && rates.get(BurnWindow.FIVE_MINUTES) >= FAST_RATE) {
            return Alert.FAST;
        }
        if (rates.get(BurnWindow.SIX_HOURS) >= SLOW_RATE
                && rates.get(BurnWindow.THIRTY_MINUTES) >= SLOW_RATE) {
            return Alert.SLOW;
        }
        return Alert.NONE;
    }
}

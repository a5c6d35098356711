package io.sapphirestack.core.objective;

import java.util.Map;

/**
 * Burn of the error budget of one service and objective, with the alert that follows from it. A
 * burn rate of 1 spends the budget of a window exactly over the length of the window.
 *
 * @param service name of the service
 * @param objective quantity whose measurements are counted as good or bad events
 * @param target targeted fraction of good events, between 0 and 1, exclusive
 * @param good good events in the longest window
 * @param bad bad events in the longest window
 * @param budgetLeft remaining fraction of the error budget of the longest window; negative if the
 *     budget is overspent
 * @param burnRates burn rate by window, with an entry for every window; 0 for a window without
 *     events
 * @param alert alert that the burn rates raise
 * @param causes number of bad events by the identifier of the log event that explains them
 */
public record BurnStatus(
        String service,
        Objective objective,
        double target,
        long good,
        long bad,
        double budgetLeft,
        Map<BurnWindow, Double> burnRates,
        Alert alert,
        Map<String, Long> causes) {

    private static final double FAST_BURN_RATE = 14.4;
    private static final double SLOW_BURN_RATE = 6;

    /** Urgency of a burn. */
    public enum Alert {
        /** No alert is raised. */
        NONE,
        /**
         * The burn rate is at least 6 over six hours and over thirty minutes. At this rate the
         * budget of six hours is spent within one hour.
         */
        SLOW,
        /**
         * The burn rate is at least 14.4 over one hour and over five minutes. At this rate the
         * budget of six hours is spent within 25 minutes.
         */
        FAST
    }

    /**
     * Computes the burn rates and the alert from event counts.
     *
     * @param count event counts, summed over the instances; a window without an entry counts as one
     *     without events
     * @param target targeted fraction of good events, between 0 and 1, exclusive
     * @return the burn of the error budget
     */
    public static BurnStatus of(BurnCount count, double target) {
        Map<BurnWindow, Double> rates = new java.util.TreeMap<>();
        for (BurnWindow window : BurnWindow.values()) {
            EventCount events = count.windows().getOrDefault(window, new EventCount(0, 0));
            rates.put(window, events.badFraction() / (1 - target));
        }
        EventCount longest =
                count.windows().getOrDefault(BurnWindow.SIX_HOURS, new EventCount(0, 0));
        return new BurnStatus(
                count.service(),
                count.objective(),
                target,
                longest.good(),
                longest.bad(),
                1 - rates.get(BurnWindow.SIX_HOURS),
                rates,
                alert(rates),
                count.causes());
    }

    private static Alert alert(Map<BurnWindow, Double> rates) {
        if (rates.get(BurnWindow.ONE_HOUR) >= FAST_BURN_RATE
                && rates.get(BurnWindow.FIVE_MINUTES) >= FAST_BURN_RATE) {
            return Alert.FAST;
        }
        if (rates.get(BurnWindow.SIX_HOURS) >= SLOW_BURN_RATE
                && rates.get(BurnWindow.THIRTY_MINUTES) >= SLOW_BURN_RATE) {
            return Alert.SLOW;
        }
        return Alert.NONE;
    }
}

package io.sapphirestack.core.objective;

/**
 * Number of events.
 *
 * @param good events that met the objective
 * @param bad events that did not
 */
public record EventCount(long good, long bad) {

    /**
     * Adds another count.
     *
     * @param other count to add
     * @return the sum
     */
    public EventCount plus(EventCount other) {
        return new EventCount(good + other.good, bad + other.bad);
    }

    /** Returns the share of bad events, 0 if there are no events. */
    public double badShare() {
        long total = good + bad;
        return total == 0 ? 0 : (double) bad / total;
    }
}

package io.sapphirestack.core.objective;

/**
 * Numbers of good and bad events.
 *
 * @param good events that met the objective
 * @param bad events that did not meet it
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

    /** Returns the fraction of bad events, from 0 to 1; 0 if there are no events. */
    public double badFraction() {
        long total = good + bad;
        return total == 0 ? 0 : (double) bad / total;
    }
}

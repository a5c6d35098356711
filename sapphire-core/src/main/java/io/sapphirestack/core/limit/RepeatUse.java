package io.sapphirestack.core.limit;

/**
 * Usage of the retry budget of one service within its window, summed over one or more instances.
 *
 * @param instances number of instances that are included
 * @param requests number of requests, counted once regardless of retries
 * @param repeats number of retries
 */
public record RepeatUse(int instances, int requests, int repeats) {
    /** Usage without any instance. */
    public static final RepeatUse NONE = new RepeatUse(0, 0, 0);

    /**
     * Adds the usage at other instances.
     *
     * @param other usage to add
     * @return the sum
     */
    public RepeatUse plus(RepeatUse other) {
        return new RepeatUse(
                instances + other.instances, requests + other.requests, repeats + other.repeats);
    }
}

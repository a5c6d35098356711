package io.sapphirestack.core.limit;

/**
 * Use of the repeat budget of one service within its window, at one or more instances.
 *
 * @param instances instances that it comes from
 * @param requests first attempts
 * @param repeats repeats
 */
public record RepeatUse(int instances, int requests, int repeats) {
    /** No use by any instance. */
    public static final RepeatUse NONE = new RepeatUse(0, 0, 0);

    /**
     * Adds the use at other instances.
     *
     * @param other use to add
     * @return the sum
     */
    public RepeatUse plus(RepeatUse other) {
        return new RepeatUse(
                instances + other.instances, requests + other.requests, repeats + other.repeats);
    }
}

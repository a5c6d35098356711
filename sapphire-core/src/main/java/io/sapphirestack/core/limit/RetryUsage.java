package io.sapphirestack.core.limit;

/**
 * Usage of the retry budget of one service within its window, summed over one or more instances.
 *
 * @param instances number of instances that are included
 * @param requests number of requests, counted once regardless of retries
 * @param retries number of retries
 */
public record RetryUsage(int instances, int requests, int retries) {
    /** Usage without any instance. */
    public static final RetryUsage NONE = new RetryUsage(0, 0, 0);

    /**
     * Adds the usage at other instances.
     *
     * @param other usage to add
     * @return the sum
     */
    public RetryUsage plus(RetryUsage other) {
        return new RetryUsage(
                instances + other.instances, requests + other.requests, retries + other.retries);
    }
}

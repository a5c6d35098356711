package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Content of an {@code account} record.
 *
 * @param keyHash salted hash of the bearer key
 * @param priority priority of generations, from 0 (lowest) to 9
 * @param weight relative share of the account in the fair queue, positive
 * @param maxConcurrentGenerations maximum number of running generations on all instances together
 * @param maxRequestsPerS maximum rate of admitted requests per second on all instances together
 */
public record AccountSpec(
        String keyHash,
        int priority,
        double weight,
        int maxConcurrentGenerations,
        double maxRequestsPerS) {

    /** Checks the ranges of the components. */
    public AccountSpec {
        Objects.requireNonNull(keyHash, "keyHash");
        if (priority < 0 || priority > 9) {
            throw new IllegalArgumentException(
                    "priority must be between 0 and 9 but is " + priority);
        }
        if (!(weight > 0) || maxConcurrentGenerations < 0 || !(maxRequestsPerS >= 0)) {
            throw new IllegalArgumentException(
                    "weight must be positive and limits must not be negative");
        }
    }
}

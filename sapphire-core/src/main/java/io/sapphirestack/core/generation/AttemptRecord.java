package io.sapphirestack.core.generation;

import java.util.Objects;

/**
 * Current attempt of a generation on an engine, replicated so that a new owner can re-attach.
 *
 * @param attempt number of the attempt, 0 before the first
 * @param endpoint name of the engine, empty before the first attempt
 * @param address {@code host:port} of the engine, empty before the first attempt
 * @param attempts attempts made so far
 * @param recomputedTokens tokens that engines were given to compute again so far
 */
public record AttemptRecord(
        int attempt, String endpoint, String address, int attempts, long recomputedTokens) {

    /** State before the first attempt. */
    public static final AttemptRecord NONE = new AttemptRecord(0, "", "", 0, 0);

    /** Checks the components. */
    public AttemptRecord {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(address, "address");
    }
}

package io.sapphirestack.core.generation;

import java.util.Objects;

/**
 * Current attempt of a generation on an engine, replicated so that a new owner can re-attach.
 *
 * @param attempt number of the attempt, 0 before the first
 * @param endpoint endpoint identifier of the engine, empty before the first attempt
 * @param address {@code host:port} of the engine, empty before the first attempt
 * @param attempts number of attempts started so far
 * @param recomputedTokens number of tokens that engines had to compute again so far
 */
public record AttemptRecord(
        int attempt, String endpoint, String address, int attempts, long recomputedTokens) {

    /** State before the first attempt. */
    public static final AttemptRecord NONE = new AttemptRecord(0, "", "", 0, 0);

    /** Checks the components for {@code null}. */
    public AttemptRecord {
        Objects.requireNonNull(endpoint, "endpoint");
        Objects.requireNonNull(address, "address");
    }
}

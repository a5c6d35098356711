package io.sapphirestack.core.generation;

import java.util.Objects;

/**
 * Replicated state of a generation other than its output. An append contains it only until the
 * replica has acknowledged its version, so that appends of single tokens stay small.
 *
 * @param version number that the owner increases with each change, starting at 1 in each epoch
 * @param replicas member list of the owner
 * @param attempt current attempt
 */
public record GenerationHeader(long version, ReplicaSet replicas, AttemptRecord attempt) {

    /** Checks the components for {@code null}. */
    public GenerationHeader {
        Objects.requireNonNull(replicas, "replicas");
        Objects.requireNonNull(attempt, "attempt");
    }
}

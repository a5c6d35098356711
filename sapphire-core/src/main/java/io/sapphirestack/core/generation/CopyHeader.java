package io.sapphirestack.core.generation;

import java.util.Objects;

/**
 * State of a generation beside its output. Sent with an append only until the replica has
 * acknowledged its version, so that the append of a token stays small.
 *
 * @param version number that the owner raises with each change within its epoch, from 1
 * @param replicas members as the owner sees them
 * @param attempt current attempt
 */
public record CopyHeader(long version, ReplicaSet replicas, AttemptRecord attempt) {

    /** Checks the components. */
    public CopyHeader {
        Objects.requireNonNull(replicas, "replicas");
        Objects.requireNonNull(attempt, "attempt");
    }
}

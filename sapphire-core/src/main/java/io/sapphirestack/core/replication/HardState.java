package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * State of a node that must be durable before a message that depends on it may be sent.
 *
 * @param voterId random identity of the node, created together with its data folder
 * @param clusterId identity of the cluster, empty until the node has joined a cluster
 * @param term highest term that the node has seen
 * @param votedFor identity of the candidate that the node voted for in this term, empty if none
 */
public record HardState(String voterId, String clusterId, long term, String votedFor) {

    /** Validates the components. */
    public HardState {
        Objects.requireNonNull(voterId, "voterId");
        Objects.requireNonNull(clusterId, "clusterId");
        Objects.requireNonNull(votedFor, "votedFor");
        if (voterId.isEmpty() || term < 0) {
            throw new IllegalArgumentException(
                    "voterId must not be empty and term must not be negative");
        }
    }
}

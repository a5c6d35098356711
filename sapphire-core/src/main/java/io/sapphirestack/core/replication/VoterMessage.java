package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * Envelope of a message between nodes of the replicated log.
 *
 * @param clusterId cluster of the sender, empty if it has not joined one
 * @param fromVoter identity of the sender
 * @param fromAddress {@code host:port} of the sender
 * @param toVoter identity of the receiver; a node with another identity ignores the message. Empty
 *     if the message is for any node at the address
 * @param toAddress {@code host:port} of the receiver
 * @param message payload
 */
public record VoterMessage(
        String clusterId,
        String fromVoter,
        String fromAddress,
        String toVoter,
        String toAddress,
        ReplicationMessage message) {

    /** Validates the components. */
    public VoterMessage {
        Objects.requireNonNull(clusterId, "clusterId");
        Objects.requireNonNull(fromVoter, "fromVoter");
        Objects.requireNonNull(toAddress, "toAddress");
        Objects.requireNonNull(message, "message");
    }
}

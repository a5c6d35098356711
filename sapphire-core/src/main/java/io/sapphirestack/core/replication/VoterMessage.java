package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * Message between voters with its addresses.
 *
 * @param clusterId cluster of the sender, empty if it has none
 * @param fromVoter identity of the sender
 * @param fromAddress {@code host:port} of the sender
 * @param toVoter identity of the receiver; a node with another identity drops the message. Empty if
 *     the message is for whatever node has the address
 * @param toAddress {@code host:port} of the receiver
 * @param message content
 */
public record VoterMessage(
        String clusterId,
        String fromVoter,
        String fromAddress,
        String toVoter,
        String toAddress,
        ReplicationMessage message) {

    /** Checks the components. */
    public VoterMessage {
        Objects.requireNonNull(clusterId, "clusterId");
        Objects.requireNonNull(fromVoter, "fromVoter");
        Objects.requireNonNull(toAddress, "toAddress");
        Objects.requireNonNull(message, "message");
    }
}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.VoterMessage;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Carries a message of the replicated log to another voter. A message that replies to it is sent
 * back in a separate envelope.
 *
 * @param message message with the addresses of its sender and receiver
 */
@PeerMessage(code = 1, reply = ReplicationEnvelope.Accepted.class)
public record ReplicationEnvelope(VoterMessage message)
        implements PeerRequest<ReplicationEnvelope.Accepted> {

    /**
     * Acknowledges the delivery of the envelope, not the processing of its message.
     *
     * @param running whether the voter is running; otherwise the message was discarded
     */
    public record Accepted(boolean running) {}
}

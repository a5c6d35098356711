package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.VoterMessage;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Carries a message of the replicated log to another voter. The answer, if any, is an envelope in
 * the other direction.
 *
 * @param message message with its addresses
 */
@PeerMessage(code = 1, reply = ReplicationEnvelope.Accepted.class)
public record ReplicationEnvelope(VoterMessage message)
        implements PeerRequest<ReplicationEnvelope.Accepted> {

    /**
     * The envelope arrived.
     *
     * @param running whether the voter handles messages
     */
    public record Accepted(boolean running) {}
}

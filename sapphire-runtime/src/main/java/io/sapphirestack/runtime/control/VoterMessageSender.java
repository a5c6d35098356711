package io.sapphirestack.runtime.control;

import io.sapphirestack.core.replication.VoterMessage;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Sends messages of the replicated log to other voters, the nodes that replicate the log and elect
 * its leader. Sending is asynchronous, and failures are ignored. Thread-safe.
 */
final class VoterMessageSender implements Consumer<List<VoterMessage>> {

    private static final long SEND_TIMEOUT_MS = 1_000;

    private final PeerTransport transport;

    VoterMessageSender(PeerTransport transport) {
        this.transport = Objects.requireNonNull(transport, "transport");
    }

    @Override
    public void accept(List<VoterMessage> messages) {
        for (VoterMessage message : messages) {
            // The replicated log resends messages that are not acknowledged, so failures need no
            // handling here.
            transport
                    .call(message.toAddress(), new ReplicationEnvelope(message), SEND_TIMEOUT_MS)
                    .exceptionally(failure -> null);
        }
    }
}

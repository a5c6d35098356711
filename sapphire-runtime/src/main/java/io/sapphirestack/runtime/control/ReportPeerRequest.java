package io.sapphirestack.runtime.control;

import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Sent by an instance to report a peer that does not acknowledge its appends.
 *
 * @param reporter incarnation of the sender
 * @param reported incarnation of the unresponsive peer
 * @param forwarded whether another voter has forwarded the request; it is not forwarded again
 */
@PeerMessage(code = 6, reply = ReportPeerRequest.ReportPeerReply.class)
public record ReportPeerRequest(InstanceRef reporter, InstanceRef reported, boolean forwarded)
        implements PeerRequest<ReportPeerRequest.ReportPeerReply> {

    /**
     * Reply to a {@link ReportPeerRequest}.
     *
     * @param accepted whether the leader evicts the reported instance
     */
    public record ReportPeerReply(boolean accepted) {}
}

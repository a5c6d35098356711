package io.sapphirestack.runtime.control;

import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * An instance reports a peer that does not acknowledge its appends.
 *
 * @param reporter instance that reports
 * @param reported peer that does not answer
 * @param forwarded whether a voter passed the request on; it is not passed on again
 */
@PeerMessage(code = 6, reply = ReportPeerRequest.ReportPeerReply.class)
public record ReportPeerRequest(InstanceRef reporter, InstanceRef reported, boolean forwarded)
        implements PeerRequest<ReportPeerRequest.ReportPeerReply> {

    /**
     * Answer to a {@link ReportPeerRequest}.
     *
     * @param accepted whether the leader evicts the reported instance
     */
    public record ReportPeerReply(boolean accepted) {}
}

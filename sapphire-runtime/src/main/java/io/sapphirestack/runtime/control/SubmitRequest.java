package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Submits a command to a voter, which forwards it to the leader if necessary.
 *
 * @param command command to append to the control log
 * @param timeoutMs time for which the sender waits for the reply, in milliseconds
 * @param forwarded whether another voter has forwarded the request; it is not forwarded again
 */
@PeerMessage(code = 2, reply = SubmitReply.class)
public record SubmitRequest(ControlCommand command, long timeoutMs, boolean forwarded)
        implements PeerRequest<SubmitReply> {}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Submits a command to a voter.
 *
 * @param command command to append
 * @param timeoutMs time for which the sender waits, in milliseconds
 * @param forwarded whether a voter passed the request on; it is not passed on again
 */
@PeerMessage(code = 2, reply = SubmitReply.class)
public record SubmitRequest(ControlCommand command, long timeoutMs, boolean forwarded)
        implements PeerRequest<SubmitReply> {}

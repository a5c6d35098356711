package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * A follower passes a heartbeat on to the leader and asks for a confirmation of the leadership.
 *
 * @param status report of the instance that sent the heartbeat
 */
@PeerMessage(code = 4, reply = ConfirmRequest.Confirmation.class)
public record ConfirmRequest(InstanceStatus status)
        implements PeerRequest<ConfirmRequest.Confirmation> {

    /**
     * Answer of the leader.
     *
     * @param confirmed whether a majority confirmed the leadership after the request
     * @param index log entry that must be applied before the state is read
     */
    public record Confirmation(boolean confirmed, long index) {}
}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Sent by a follower to forward the heartbeat of an instance to the leader. The leader confirms its
 * leadership with a majority, so that the follower can serve a current state.
 *
 * @param status status of the instance that sent the heartbeat
 */
@PeerMessage(code = 4, reply = ConfirmRequest.Confirmation.class)
public record ConfirmRequest(InstanceStatus status)
        implements PeerRequest<ConfirmRequest.Confirmation> {

    /**
     * Reply of the leader.
     *
     * @param confirmed whether a majority confirmed the leadership after the request had arrived
     * @param index index of the log entry up to which the follower must have applied the log before
     *     it reads the state; 0 if not confirmed
     */
    public record Confirmation(boolean confirmed, long index) {}
}

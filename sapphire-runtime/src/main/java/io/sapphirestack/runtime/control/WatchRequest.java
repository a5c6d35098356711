package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Long poll of an instance; also its heartbeat.
 *
 * @param status current report of the instance
 * @param appliedRevision revision of the view that the instance has, 0 for none
 * @param waitMs how long the voter may wait for a change, in milliseconds
 */
@PeerMessage(code = 3, reply = WatchReply.class)
public record WatchRequest(InstanceStatus status, long appliedRevision, long waitMs)
        implements PeerRequest<WatchReply> {}

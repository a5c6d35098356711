package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;

/**
 * Long poll of an instance for changes of the control view. It is also the heartbeat of the
 * instance.
 *
 * @param status current status of the instance
 * @param appliedRevision revision of the view that the instance has applied, 0 if it has none
 * @param waitMs maximum time for which the voter delays the reply until there is a change, in
 *     milliseconds
 * @param noticedRevision revision of the newest view that the instance was told of and whose
 *     contents it still fetches, 0 if there is none; the voter waits for a newer one
 * @param fetchesContent whether the instance fetches contents apart, so that the reply names them
 *     only; {@code false} in requests of earlier releases
 */
@PeerMessage(code = 3, reply = WatchReply.class)
public record WatchRequest(
        InstanceStatus status,
        long appliedRevision,
        long waitMs,
        long noticedRevision,
        boolean fetchesContent)
        implements PeerRequest<WatchReply> {

    /** Returns the revision of the newest view that the instance knows of. */
    long knownRevision() {
        return Math.max(appliedRevision, noticedRevision);
    }
}

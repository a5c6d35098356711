package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlDelta;
import io.sapphirestack.core.control.ControlView;
import java.util.Optional;

/**
 * Reply to a {@link WatchRequest}.
 *
 * @param clusterId identifier of the cluster of the voter, empty if it belongs to none
 * @param view complete view if it is newer than that of the instance and the difference is not
 *     known, else empty
 * @param delta difference from the view of the instance if it is known and not empty, else empty
 * @param revision revision of the view of the voter
 * @param confirmed whether the leader confirmed its leadership with a majority after the request
 *     had arrived, so that the view contains every change accepted before that
 * @param evicted whether the incarnation of the instance has been evicted
 * @param leader address of the leader that the voter knows, empty if it knows none
 */
public record WatchReply(
        String clusterId,
        Optional<ControlView> view,
        Optional<ControlDelta> delta,
        long revision,
        boolean confirmed,
        boolean evicted,
        String leader) {

    /** Takes a leader that a voter of an earlier version does not name as unknown. */
    public WatchReply {
        leader = leader == null ? "" : leader;
    }

    static WatchReply unconfirmed(String clusterId) {
        return new WatchReply(clusterId, Optional.empty(), Optional.empty(), 0, false, false, "");
    }
}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlDelta;
import io.sapphirestack.core.control.ControlView;
import java.util.Optional;

/**
 * Answer to a {@link WatchRequest}.
 *
 * @param clusterId cluster of the voter, empty if it has none
 * @param view whole view, if the difference is not known
 * @param delta difference from the instance's view, if it is known and not empty
 * @param revision revision of the view after the change
 * @param confirmed whether the leader proved its leadership after the request had arrived, so that
 *     the view contains every change accepted before
 * @param evicted whether the instance's incarnation is no longer live
 */
public record WatchReply(
        String clusterId,
        Optional<ControlView> view,
        Optional<ControlDelta> delta,
        long revision,
        boolean confirmed,
        boolean evicted) {

    static WatchReply unconfirmed(String clusterId) {
        return new WatchReply(clusterId, Optional.empty(), Optional.empty(), 0, false, false);
    }
}

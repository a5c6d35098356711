package io.sapphirestack.core.control;

import java.util.List;

/**
 * State of all live instances as known to the control leader.
 *
 * @param leader address of the leader ({@code host:port})
 * @param revision revision of the last accepted change
 * @param instances latest status report of each live instance
 */
public record FleetStatus(String leader, long revision, List<InstanceStatus> instances) {

    /** Makes an immutable copy of the list. */
    public FleetStatus {
        instances = List.copyOf(instances);
    }
}

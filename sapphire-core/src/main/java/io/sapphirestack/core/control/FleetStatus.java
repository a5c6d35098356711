package io.sapphirestack.core.control;

import java.util.List;

/**
 * State of the fleet as the control leader knows it.
 *
 * @param leader address of the leader
 * @param revision revision of the last accepted change
 * @param instances last report of each live instance
 */
public record FleetStatus(String leader, long revision, List<InstanceStatus> instances) {

    /** Copies the list. */
    public FleetStatus {
        instances = List.copyOf(instances);
    }
}

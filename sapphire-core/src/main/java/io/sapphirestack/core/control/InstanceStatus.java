package io.sapphirestack.core.control;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.RecordKey;
import java.util.List;
import java.util.Map;

/**
 * What an instance reports with each heartbeat.
 *
 * @param ref name and incarnation
 * @param appliedRevision revision of the configuration that is in force on the instance
 * @param readiness stage in its life
 * @param ownedRunning running generations that it owns
 * @param inFlight work in flight by endpoint; endpoints without any are left out
 * @param unreadable records that the instance cannot interpret
 */
public record InstanceStatus(
        InstanceRef ref,
        long appliedRevision,
        Readiness readiness,
        int ownedRunning,
        Map<EndpointId, Integer> inFlight,
        List<RecordKey> unreadable) {

    /** Copies the collections. */
    public InstanceStatus {
        inFlight = Map.copyOf(inFlight);
        unreadable = List.copyOf(unreadable);
    }
}

package io.sapphirestack.core.control;

import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.RecordKey;
import java.util.List;
import java.util.Map;

/**
 * Status that an instance reports with each heartbeat.
 *
 * @param ref identifier and incarnation of the instance
 * @param appliedRevision revision (log index) of the configuration that the instance has applied
 * @param readiness lifecycle state of the instance
 * @param ownedRunning number of running generations that the instance owns
 * @param inFlight sum of the weights of the requests that this instance has in flight, by endpoint;
 *     the weights are those passed to the instance's {@code InFlightTracker}. Endpoints without any
 *     requests in flight are omitted
 * @param unreadable keys of configuration records that the instance cannot interpret, such as
 *     records of a newer schema
 */
public record InstanceStatus(
        InstanceRef ref,
        long appliedRevision,
        Readiness readiness,
        int ownedRunning,
        Map<EndpointId, Integer> inFlight,
        List<RecordKey> unreadable) {

    /** Makes immutable copies of the collections. */
    public InstanceStatus {
        inFlight = Map.copyOf(inFlight);
        unreadable = List.copyOf(unreadable);
    }
}

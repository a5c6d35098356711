package io.sapphirestack.runtime.blackboard;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.routing.EndpointTable;
import java.util.Optional;

/**
 * Shared state of one instance. Each part has one owner that publishes it; all others only read.
 *
 * @param control replicated configuration and membership; owned by the control watcher
 * @param configurationLease lease during which the configuration is known to be in force; owned by
 *     the control watcher
 * @param self current incarnation, empty until the instance has joined; owned by the control
 *     watcher
 * @param endpoints known endpoints; owned by the endpoint registry
 * @param readiness stage in the life of the instance; owned by the lifecycle controller
 */
public record Blackboard(
        BlackboardPart<ControlView> control,
        BlackboardPart<ConfigurationLease> configurationLease,
        BlackboardPart<Optional<InstanceRef>> self,
        BlackboardPart<EndpointTable> endpoints,
        BlackboardPart<Readiness> readiness) {

    /** Creates the blackboard of an instance that has just started. */
    public static Blackboard create() {
        return new Blackboard(
                new BlackboardPart<>(ControlView.EMPTY),
                new BlackboardPart<>(ConfigurationLease.NONE),
                new BlackboardPart<>(Optional.empty()),
                new BlackboardPart<>(EndpointTable.EMPTY),
                new BlackboardPart<>(Readiness.STARTING));
    }
}

package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.generation.GenerationAdmission;
import io.sapphirestack.core.routing.DispatchGuard;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.Objects;

/**
 * Collaborators of the generation path.
 *
 * @param blackboard shared state of this instance
 * @param transport requests to other instances
 * @param catalog configuration
 * @param routing choice of an endpoint
 * @param guard last check before an attempt is sent
 * @param admission limit on running generations by account
 * @param reporter takes reports about peers that do not acknowledge
 * @param metrics counters
 * @param clock monotonic clock
 */
public record GenerationContext(
        Blackboard blackboard,
        PeerTransport transport,
        GenerationCatalog catalog,
        RoutingStrategy routing,
        DispatchGuard guard,
        GenerationAdmission admission,
        PeerFailureReporter reporter,
        GenerationMetrics metrics,
        MillisClock clock) {

    /** Checks the components. */
    public GenerationContext {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(transport, "transport");
        Objects.requireNonNull(catalog, "catalog");
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(guard, "guard");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(reporter, "reporter");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(clock, "clock");
    }
}

package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.generation.GenerationAdmission;
import io.sapphirestack.core.routing.DispatchGuard;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.Objects;

/**
 * Collaborators of the generation service. All of them are thread-safe.
 *
 * @param blackboard shared state of this instance
 * @param transport transport for requests to other instances
 * @param catalog configuration of models, services and accounts
 * @param routing chooses the endpoint of an attempt
 * @param guard checks immediately before an attempt is sent whether it may start
 * @param admission limits the running generations of each client account
 * @param peerFailureReporter receives reports about peers that do not acknowledge appends
 * @param metrics metrics of generations
 * @param crashes tells which requests crash engines
 * @param clock monotonic clock in milliseconds
 */
public record GenerationContext(
        Blackboard blackboard,
        PeerTransport transport,
        GenerationCatalog catalog,
        RoutingStrategy routing,
        DispatchGuard guard,
        GenerationAdmission admission,
        PeerFailureReporter peerFailureReporter,
        GenerationMetrics metrics,
        RequestCrashMonitor crashes,
        MillisClock clock) {

    /** Checks that no component is {@code null}. */
    public GenerationContext {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(transport, "transport");
        Objects.requireNonNull(catalog, "catalog");
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(guard, "guard");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(peerFailureReporter, "peerFailureReporter");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(crashes, "crashes");
        Objects.requireNonNull(clock, "clock");
    }
}

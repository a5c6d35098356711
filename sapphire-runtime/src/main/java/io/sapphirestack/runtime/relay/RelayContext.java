package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.EndpointHealth;
import io.sapphirestack.core.relay.FleetRetryBudget;
import io.sapphirestack.core.relay.RelayPlacement;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.Metrics;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What relaying needs of the instance.
 *
 * @param headers names of header fields
 * @param plan returns the traffic plan in force, empty until the first one is known
 * @param endpoints returns the known endpoints
 * @param placement chooses endpoints
 * @param health outcomes of own requests
 * @param inFlight own work by endpoint
 * @param budget bounds repeats
 * @param metrics counts requests, attempts, refusals and resumes
 * @param clock monotonic clock
 */
public record RelayContext(
        RelayHeaders headers,
        Supplier<Optional<TrafficPlan>> plan,
        Supplier<EndpointTable> endpoints,
        RelayPlacement placement,
        EndpointHealth health,
        InFlightTracker inFlight,
        FleetRetryBudget budget,
        Metrics metrics,
        MillisClock clock) {

    /** Checks the components. */
    public RelayContext {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(plan, "plan");
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(clock, "clock");
    }
}

package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.admission.AdmissionSettings;
import io.sapphirestack.core.admission.LoadSource;
import io.sapphirestack.core.quarantine.PromptQuarantine;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.relay.EndpointHealth;
import io.sapphirestack.core.relay.EndpointRateLimiter;
import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.core.relay.EndpointSpeeds;
import io.sapphirestack.core.relay.FleetRetryBudget;
import io.sapphirestack.core.relay.RelayPlacement;
import io.sapphirestack.core.relay.ResponseLimits;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.rollout.LocalRollouts;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.Metrics;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Collaborators of {@link TrafficRelay} that the instance provides.
 *
 * @param headers names of header fields
 * @param copyOrders names in the orders for standby copies
 * @param plan returns the current traffic plan, empty until the first one is known
 * @param endpoints returns the known endpoints
 * @param placement chooses the endpoint of each attempt
 * @param health endpoint health as observed by this instance
 * @param inFlight requests of this instance in flight, by endpoint
 * @param retryBudget limits the retries of the whole fleet
 * @param quarantine prompts that must not be sent to engines
 * @param requestQuarantine requests that must not be sent to endpoints
 * @param rollouts rollouts of new versions of services
 * @param rateLimiter keeps the requests to endpoints within the limits that they name
 * @param loads returns the loads that endpoints report
 * @param admission settings of the admission of plain requests
 * @param signals what endpoints say about themselves
 * @param speeds learned speeds of the endpoints
 * @param responseLimits limits on the responses of endpoints
 * @param metrics metrics of requests, attempts and resumed streams
 * @param clock monotonic clock
 */
public record RelayContext(
        RelayHeaders headers,
        CopyOrderNames copyOrders,
        Supplier<Optional<TrafficPlan>> plan,
        Supplier<EndpointTable> endpoints,
        RelayPlacement placement,
        EndpointHealth health,
        InFlightTracker inFlight,
        FleetRetryBudget retryBudget,
        PromptQuarantine quarantine,
        RequestQuarantine requestQuarantine,
        LocalRollouts rollouts,
        EndpointRateLimiter rateLimiter,
        LoadSource loads,
        AdmissionSettings admission,
        EndpointSignalTable signals,
        EndpointSpeeds speeds,
        ResponseLimits responseLimits,
        Metrics metrics,
        MillisClock clock) {

    /** Requires all components to be non-null. */
    public RelayContext {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(copyOrders, "copyOrders");
        Objects.requireNonNull(plan, "plan");
        Objects.requireNonNull(endpoints, "endpoints");
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(quarantine, "quarantine");
        Objects.requireNonNull(requestQuarantine, "requestQuarantine");
        Objects.requireNonNull(rollouts, "rollouts");
        Objects.requireNonNull(rateLimiter, "rateLimiter");
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(signals, "signals");
        Objects.requireNonNull(speeds, "speeds");
        Objects.requireNonNull(responseLimits, "responseLimits");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(clock, "clock");
    }
}

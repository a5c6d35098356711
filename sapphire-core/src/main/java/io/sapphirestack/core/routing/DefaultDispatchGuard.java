package io.sapphirestack.core.routing;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.time.MillisClock;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Dispatch guard that checks the lease on the configuration, planned stops and the endpoint table.
 * Thread-safe.
 *
 * <p>Work is counted as in flight before the check. Otherwise a planned stop that takes effect
 * between the check and the count would find no work in flight.
 */
public final class DefaultDispatchGuard implements DispatchGuard {
    private static final String STEP = "dispatch";

    private final Supplier<ConfigurationLease> configurationLease;
    private final Supplier<EndpointTable> endpoints;
    private final Predicate<EndpointId> stopping;
    private final Function<String, Optional<ServiceSpec>> services;
    private final InFlightTracker inFlight;
    private final MillisClock clock;

    /**
     * Creates a guard.
     *
     * @param configurationLease returns the current lease on the configuration
     * @param endpoints returns the published endpoint table
     * @param stopping tests whether an endpoint has a planned stop
     * @param services returns the spec of a service by name, or empty if there is none
     * @param inFlight tracks the work in flight
     * @param clock monotonic clock
     */
    public DefaultDispatchGuard(
            Supplier<ConfigurationLease> configurationLease,
            Supplier<EndpointTable> endpoints,
            Predicate<EndpointId> stopping,
            Function<String, Optional<ServiceSpec>> services,
            InFlightTracker inFlight,
            MillisClock clock) {
        this.configurationLease = Objects.requireNonNull(configurationLease, "configurationLease");
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.stopping = Objects.requireNonNull(stopping, "stopping");
        this.services = Objects.requireNonNull(services, "services");
        this.inFlight = Objects.requireNonNull(inFlight, "inFlight");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public DispatchPermit begin(EndpointState endpoint, WorkKind kind) throws RefusedException {
        DispatchPermit permit = inFlight.begin(endpoint.id());
        boolean granted = false;
        try {
            check(endpoint, kind);
            granted = true;
            return permit;
        } finally {
            if (!granted) {
                permit.close();
            }
        }
    }

    private void check(EndpointState endpoint, WorkKind kind) throws RefusedException {
        if (!isConfigurationValidFor(endpoint.service(), kind)) {
            throw new RefusedException(
                    Refusal.notExecuted(
                            503,
                            "configuration_stale",
                            STEP,
                            "The configuration could not be confirmed."));
        }
        if (stopping.test(endpoint.id())) {
            throw noEndpoint("Endpoint " + endpoint.id() + " has a planned stop.");
        }
        Optional<EndpointState> current = endpoints.get().find(endpoint.id());
        if (current.isEmpty() || current.get().epochMs() != endpoint.epochMs()) {
            throw noEndpoint("Endpoint " + endpoint.id() + " was removed or has restarted.");
        }
    }

    private boolean isConfigurationValidFor(String service, WorkKind kind) {
        ConfigurationLease lease = configurationLease.get();
        long nowMs = clock.nowMs();
        if (lease.isValidAt(nowMs)) {
            return true;
        }
        if (kind != WorkKind.READ) {
            return false;
        }
        long limitMs = services.apply(service).map(ServiceSpec::staleReadLimitMs).orElse(0L);
        return limitMs > 0 && lease.isValidAt(nowMs - limitMs);
    }

    private static RefusedException noEndpoint(String detail) {
        return new RefusedException(Refusal.notExecuted(503, "no_endpoint", STEP, detail));
    }
}

package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;
import java.util.Set;

/**
 * Latest known state of an endpoint, as seen by this instance.
 *
 * @param id identifier of the endpoint
 * @param service name of the service that it belongs to
 * @param address {@code host:port} of its HTTP interface
 * @param availabilityZone availability zone
 * @param epochMs start time of the endpoint's process in milliseconds, which changes with a restart
 * @param models loaded model variants
 * @param load load from the latest report
 * @param phase phase of its lifecycle
 * @param announcedAtMs time of the latest announcement on this instance's monotonic clock, in
 *     milliseconds
 * @param version version of the endpoint's software, empty if unknown
 */
public record EndpointState(
        EndpointId id,
        String service,
        String address,
        String availabilityZone,
        long epochMs,
        Set<ModelPin> models,
        EndpointLoad load,
        EndpointPhase phase,
        long announcedAtMs,
        String version) {

    /** Checks the components. */
    public EndpointState {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        models = Set.copyOf(models);
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(version, "version");
    }

    /**
     * Creates the state of an endpoint of unknown version in phase {@link EndpointPhase#SERVING}.
     *
     * @param id identifier of the endpoint
     * @param service name of the service that it belongs to
     * @param address {@code host:port} of its HTTP interface
     * @param availabilityZone availability zone
     * @param epochMs start time of the endpoint's process, in milliseconds
     * @param models loaded model variants
     * @param load load from the latest report
     * @param announcedAtMs time of the latest announcement on this instance's monotonic clock, in
     *     milliseconds
     */
    public EndpointState(
            EndpointId id,
            String service,
            String address,
            String availabilityZone,
            long epochMs,
            Set<ModelPin> models,
            EndpointLoad load,
            long announcedAtMs) {
        this(
                id,
                service,
                address,
                availabilityZone,
                epochMs,
                models,
                load,
                EndpointPhase.SERVING,
                announcedAtMs,
                "");
    }

    /**
     * Returns whether another state belongs to the same process of the endpoint.
     *
     * @param other state from another report
     * @return whether identifier and start time are equal
     */
    public boolean isSameProcess(EndpointState other) {
        return id.equals(other.id) && epochMs == other.epochMs;
    }

    /** Returns whether the endpoint accepts new work. */
    public boolean isServing() {
        return phase == EndpointPhase.SERVING;
    }
}

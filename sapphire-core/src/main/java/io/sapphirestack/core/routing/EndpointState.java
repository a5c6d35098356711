package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;
import java.util.Set;

/**
 * What an instance knows about an endpoint.
 *
 * @param id name of the endpoint
 * @param service service that it belongs to
 * @param address {@code host:port} of its HTTP interface
 * @param availabilityZone availability zone
 * @param epochMs start time of the endpoint's process, to tell a restart
 * @param models variants that are loaded
 * @param load load of the last report
 * @param phase stage in its life
 * @param heardAtMs when the last announcement was made, on this instance's monotonic clock
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
        long heardAtMs) {

    /** Checks the components. */
    public EndpointState {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        models = Set.copyOf(models);
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(phase, "phase");
    }

    /**
     * Creates the state of an endpoint that takes work.
     *
     * @param id name of the endpoint
     * @param service service that it belongs to
     * @param address {@code host:port} of its HTTP interface
     * @param availabilityZone availability zone
     * @param epochMs start time of the endpoint's process
     * @param models variants that are loaded
     * @param load load of the last report
     * @param heardAtMs when the last announcement was made, on this instance's monotonic clock
     */
    public EndpointState(
            EndpointId id,
            String service,
            String address,
            String availabilityZone,
            long epochMs,
            Set<ModelPin> models,
            EndpointLoad load,
            long heardAtMs) {
        this(
                id,
                service,
                address,
                availabilityZone,
                epochMs,
                models,
                load,
                EndpointPhase.SERVING,
                heardAtMs);
    }

    /**
     * Tells whether another state is of the same process.
     *
     * @param other state from another report
     * @return whether name and start time are equal
     */
    public boolean isSameLife(EndpointState other) {
        return id.equals(other.id) && epochMs == other.epochMs;
    }

    /** Returns whether the endpoint takes new work. */
    public boolean isServing() {
        return phase == EndpointPhase.SERVING;
    }
}

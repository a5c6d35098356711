package io.sapphirestack.core.membership;

import io.sapphirestack.core.record.ModelPin;
import java.util.List;
import java.util.Objects;

/**
 * Rarely changing part of an announcement.
 *
 * @param service service that the endpoint belongs to
 * @param address {@code host:port} of its HTTP interface
 * @param availabilityZone availability zone
 * @param models model variants that are loaded
 * @param slots maximum number of requests executed at the same time, 0 if unknown
 * @param phase lifecycle phase of the endpoint's process
 * @param version version of the endpoint's software, empty if unknown
 */
public record EndpointDetails(
        String service,
        String address,
        String availabilityZone,
        List<ModelPin> models,
        int slots,
        EndpointPhase phase,
        String version) {

    /** Checks that no component is null, and copies the list. */
    public EndpointDetails {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        models = List.copyOf(models);
        Objects.requireNonNull(phase, "phase");
        Objects.requireNonNull(version, "version");
    }

    /**
     * Returns these details with the later of their own and another phase.
     *
     * @param other phase from another report
     * @return details with the later phase
     */
    public EndpointDetails withLaterPhase(EndpointPhase other) {
        EndpointPhase later = phase.later(other);
        return later == phase
                ? this
                : new EndpointDetails(
                        service, address, availabilityZone, models, slots, later, version);
    }

    /**
     * Creates the details of an endpoint of unknown version.
     *
     * @param service service that the endpoint belongs to
     * @param address {@code host:port} of its HTTP interface
     * @param availabilityZone availability zone
     * @param models model variants that are loaded
     * @param slots maximum number of requests executed at the same time, 0 if unknown
     * @param phase lifecycle phase of the endpoint's process
     */
    public EndpointDetails(
            String service,
            String address,
            String availabilityZone,
            List<ModelPin> models,
            int slots,
            EndpointPhase phase) {
        this(service, address, availabilityZone, models, slots, phase, "");
    }

    /**
     * Creates the details of an endpoint of unknown version that accepts requests.
     *
     * @param service service that the endpoint belongs to
     * @param address {@code host:port} of its HTTP interface
     * @param availabilityZone availability zone
     * @param models model variants that are loaded
     * @param slots maximum number of requests executed at the same time, 0 if unknown
     */
    public EndpointDetails(
            String service,
            String address,
            String availabilityZone,
            List<ModelPin> models,
            int slots) {
        this(service, address, availabilityZone, models, slots, EndpointPhase.SERVING);
    }

    /**
     * Returns the details contained in an announcement.
     *
     * @param announcement announcement of the endpoint
     * @return details of the endpoint
     */
    public static EndpointDetails of(EndpointAnnouncement announcement) {
        return new EndpointDetails(
                announcement.service(),
                announcement.address(),
                announcement.availabilityZone(),
                announcement.models(),
                announcement.load().slots(),
                announcement.phase(),
                announcement.version());
    }
}

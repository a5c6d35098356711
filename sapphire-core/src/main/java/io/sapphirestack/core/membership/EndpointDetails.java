package io.sapphirestack.core.membership;

import io.sapphirestack.core.record.ModelPin;
import java.util.List;
import java.util.Objects;

/**
 * Part of an announcement that changes rarely.
 *
 * @param service service that the endpoint belongs to
 * @param address {@code host:port} of its HTTP interface
 * @param availabilityZone availability zone
 * @param models variants that are loaded
 * @param slots how many streams or calls can be executed at once, 0 if unknown
 * @param phase stage in its life
 */
public record EndpointDetails(
        String service,
        String address,
        String availabilityZone,
        List<ModelPin> models,
        int slots,
        EndpointPhase phase) {

    /** Checks the components. */
    public EndpointDetails {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(availabilityZone, "availabilityZone");
        models = List.copyOf(models);
        Objects.requireNonNull(phase, "phase");
    }

    /**
     * Returns the same details with the later of two stages.
     *
     * @param other stage from another report
     * @return details with the later stage
     */
    public EndpointDetails withLaterPhase(EndpointPhase other) {
        EndpointPhase later = phase.later(other);
        return later == phase
                ? this
                : new EndpointDetails(service, address, availabilityZone, models, slots, later);
    }

    /**
     * Creates the details of an endpoint that takes work.
     *
     * @param service service that the endpoint belongs to
     * @param address {@code host:port} of its HTTP interface
     * @param availabilityZone availability zone
     * @param models variants that are loaded
     * @param slots how many streams or calls can be executed at once, 0 if unknown
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
     * Extracts the details of an announcement.
     *
     * @param announcement what the endpoint told
     * @return its details
     */
    public static EndpointDetails of(EndpointAnnouncement announcement) {
        return new EndpointDetails(
                announcement.service(),
                announcement.address(),
                announcement.availabilityZone(),
                announcement.models(),
                announcement.load().slots(),
                announcement.phase());
    }
}

package io.sapphirestack.core.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.util.List;
import java.util.Objects;

/**
 * What an endpoint tells about itself, about once a second.
 *
 * @param id name of the endpoint
 * @param service service that it belongs to
 * @param address {@code host:port} of its HTTP interface
 * @param availabilityZone availability zone
 * @param epochMs wall-clock start time of the process in milliseconds, to tell a restart
 * @param sequence number of the announcement within this life, increasing
 * @param models variants that are loaded; empty for a plain service
 * @param load reported load
 * @param cacheEvents changes of the prefix cache since the last announcement; may be late or
 *     incomplete
 * @param highestFencingToken highest fencing token that the endpoint has accepted, 0 for none
 * @param phase stage in its life; absent for an endpoint that takes work
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EndpointAnnouncement(
        EndpointId id,
        String service,
        String address,
        String availabilityZone,
        long epochMs,
        long sequence,
        List<ModelPin> models,
        EndpointLoad load,
        List<CacheEvent> cacheEvents,
        long highestFencingToken,
        EndpointPhase phase) {

    /** Checks the components; absent lists become empty. */
    public EndpointAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        availabilityZone = availabilityZone == null ? "" : availabilityZone;
        models = models == null ? List.of() : List.copyOf(models);
        load = load == null ? EndpointLoad.NONE : load;
        cacheEvents = cacheEvents == null ? List.of() : List.copyOf(cacheEvents);
        phase = phase == null ? EndpointPhase.SERVING : phase;
    }
}

package io.sapphirestack.core.membership;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.util.List;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Message in which an endpoint reports its address, models, load and phase, about once a second.
 *
 * @param id identifier of the endpoint
 * @param service service that the endpoint belongs to
 * @param address {@code host:port} of its HTTP interface
 * @param availabilityZone availability zone
 * @param epochMs wall-clock start time of the process in milliseconds; identifies the process, so
 *     that a restart is detected
 * @param sequence number of the announcement, increasing within a process
 * @param models model variants that are loaded; empty for a service without models
 * @param load load of the endpoint; absent for none
 * @param cacheEvents changes of the prefix cache since the previous announcement; may be late or
 *     incomplete
 * @param highestFencingToken highest fencing token that the endpoint has accepted, 0 for none
 * @param phase lifecycle phase; absent for an endpoint that accepts requests
 * @param version version of the software of the endpoint; absent if unknown, and treated as unknown
 *     if it is longer than {@link #MAX_VERSION_CHARS}
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
        EndpointPhase phase,
        String version) {

    /** Maximum length of the version of an endpoint, in characters. */
    public static final int MAX_VERSION_CHARS = 128;

    private static final Pattern ADDRESS = Pattern.compile("[!-~&&[^:]]+:([0-9]{1,5})");
    private static final int MAX_PORT = 65_535;

    /**
     * Checks that id, service and address are present and that the address can be connected to;
     * other absent components get their defaults.
     *
     * @throws IllegalArgumentException if the address is not {@code host:port} with a valid port
     */
    public EndpointAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        if (!isAddress(address)) {
            throw new IllegalArgumentException("address is not host:port: " + address);
        }
        availabilityZone = availabilityZone == null ? "" : availabilityZone;
        models = models == null ? List.of() : List.copyOf(models);
        load = load == null ? EndpointLoad.NONE : load;
        cacheEvents = cacheEvents == null ? List.of() : List.copyOf(cacheEvents);
        phase = phase == null ? EndpointPhase.SERVING : phase;
        version = version == null || version.length() > MAX_VERSION_CHARS ? "" : version;
    }

    /**
     * Returns whether a text is {@code host:port} with a port that can be connected to, in
     * printable ASCII characters, because header fields carry it. An address of another form would
     * fail in each request that is sent there.
     *
     * @param text text to check
     */
    public static boolean isAddress(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group(1));
        return port >= 1 && port <= MAX_PORT;
    }
}

package io.sapphirestack.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.EndpointId;
import java.util.List;
import java.util.Optional;

/**
 * Merged state of an endpoint.
 *
 * @param id name of the endpoint
 * @param epochMs start time of its process
 * @param sequence newest announcement that was merged
 * @param detailsSequence newest announcement whose details were merged
 * @param load load of the newest announcement
 * @param details details of {@code detailsSequence}
 * @param heardAtMs when the newest announcement was made, on the local monotonic clock
 * @param handle short name on the wire, see {@link #handleOf}
 */
public record KnownEndpoint(
        EndpointId id,
        long epochMs,
        long sequence,
        long detailsSequence,
        EndpointLoad load,
        EndpointDetails details,
        long heardAtMs,
        int handle) {

    /**
     * Computes the short name of one life of an endpoint. It contains the epoch, so a load-only
     * update of one life can never be applied to another.
     *
     * @param id name of the endpoint
     * @param epochMs start time of its process
     * @return 32-bit hash
     */
    public static int handleOf(EndpointId id, long epochMs) {
        return Hashing.xxh3_64().hashStream().putString(id.value()).putLong(epochMs).getAsInt();
    }

    /**
     * Returns a report with everything that is known, for peers that lack it.
     *
     * @param nowMs current time on the local monotonic clock
     * @return report with details and without cache events
     */
    public EndpointReport toReport(long nowMs) {
        return new EndpointReport(
                id,
                epochMs,
                sequence,
                detailsSequence,
                Math.max(0, nowMs - heardAtMs),
                load,
                Optional.of(details),
                List.of());
    }
}

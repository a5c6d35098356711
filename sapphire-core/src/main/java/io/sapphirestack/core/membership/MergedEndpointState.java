package io.sapphirestack.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.EndpointId;
import java.util.List;
import java.util.Optional;

/**
 * State of an endpoint merged from all reports received so far.
 *
 * @param id identifier of the endpoint
 * @param epochMs wall-clock start time of its process in milliseconds
 * @param sequence number of the newest announcement that was merged
 * @param detailsSequence number of the newest announcement whose details were merged
 * @param load load of the newest announcement
 * @param details details of {@code detailsSequence}
 * @param announcedAtMs time at which the endpoint made the newest announcement, on the local
 *     monotonic clock, in milliseconds
 * @param handle 32-bit identifier on the wire, see {@link #handleOf}
 */
public record MergedEndpointState(
        EndpointId id,
        long epochMs,
        long sequence,
        long detailsSequence,
        EndpointLoad load,
        EndpointDetails details,
        long announcedAtMs,
        int handle) {

    /**
     * Computes the handle of an endpoint's process: a hash that identifies it in messages between
     * instances. The hash covers the start time, so that a load-only report of a process is never
     * applied to its successor.
     *
     * @param id identifier of the endpoint
     * @param epochMs wall-clock start time of its process in milliseconds
     * @return 32-bit hash
     */
    public static int handleOf(EndpointId id, long epochMs) {
        return Hashing.xxh3_64().hashStream().putString(id.value()).putLong(epochMs).getAsInt();
    }

    /**
     * Returns a full report for instances that do not know this endpoint or its details.
     *
     * @param nowMs current time on the local monotonic clock, in milliseconds
     * @return report with details and without cache events
     */
    public EndpointReport toReport(long nowMs) {
        return new EndpointReport(
                id,
                epochMs,
                sequence,
                detailsSequence,
                Math.max(0, nowMs - announcedAtMs),
                load,
                Optional.of(details),
                List.of());
    }
}

package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.EndpointId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Announcement in the form in which instances pass it on through the dissemination tree.
 *
 * @param id identifier of the endpoint
 * @param epochMs wall-clock start time of the endpoint's process in milliseconds
 * @param sequence number of the announcement, increasing within a process
 * @param detailsSequence number of the announcement that last changed the details
 * @param ageMs time since the announcement was received from the endpoint, in milliseconds
 * @param load load of the endpoint
 * @param details details, or empty if they have not changed with this announcement
 * @param cacheEvents changes of the prefix cache
 */
public record EndpointReport(
        EndpointId id,
        long epochMs,
        long sequence,
        long detailsSequence,
        long ageMs,
        EndpointLoad load,
        Optional<EndpointDetails> details,
        List<CacheEvent> cacheEvents) {

    /** Checks that the details are not newer than the announcement. */
    public EndpointReport {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(details, "details");
        cacheEvents = List.copyOf(cacheEvents);
        if (detailsSequence > sequence) {
            throw new IllegalArgumentException("detailsSequence must not exceed sequence");
        }
    }

    /** Returns whether the report has no details. */
    public boolean isLoadOnly() {
        return details.isEmpty();
    }

    /**
     * Returns a copy with another age.
     *
     * @param newAgeMs time since the announcement was received from the endpoint, in milliseconds
     * @return copy with the new age
     */
    public EndpointReport withAge(long newAgeMs) {
        return new EndpointReport(
                id, epochMs, sequence, detailsSequence, newAgeMs, load, details, cacheEvents);
    }
}

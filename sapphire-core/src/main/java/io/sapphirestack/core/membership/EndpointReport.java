package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.EndpointId;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One announcement on its way through the dissemination tree.
 *
 * @param id name of the endpoint
 * @param epochMs start time of the endpoint's process
 * @param sequence number of the announcement within this life
 * @param detailsSequence number of the announcement that last changed the details
 * @param ageMs time since the announcement was received from the endpoint, in milliseconds
 * @param load reported load
 * @param details details, or empty if they did not change with this announcement
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

    /** Checks the components. */
    public EndpointReport {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(load, "load");
        Objects.requireNonNull(details, "details");
        cacheEvents = List.copyOf(cacheEvents);
        if (detailsSequence > sequence) {
            throw new IllegalArgumentException("detailsSequence must not exceed sequence");
        }
    }

    /** Returns whether only the load is carried. */
    public boolean isLoadOnly() {
        return details.isEmpty();
    }

    /**
     * Returns the same report with another age.
     *
     * @param newAgeMs time since the announcement, in milliseconds
     * @return a copy
     */
    public EndpointReport withAge(long newAgeMs) {
        return new EndpointReport(
                id, epochMs, sequence, detailsSequence, newAgeMs, load, details, cacheEvents);
    }
}

package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointDetails;
import io.sapphirestack.core.membership.EndpointReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Combination of reports that wait for the same batch. */
final class PendingReports {
    private PendingReports() {}

    /**
     * Combines two reports of one endpoint into one with the newest load, the newest details, and
     * the cache events of both.
     *
     * @param queued report that waits
     * @param added report that is added
     * @return combined report
     */
    static EndpointReport combine(EndpointReport queued, EndpointReport added) {
        if (queued.epochMs() != added.epochMs()) {
            return queued.epochMs() > added.epochMs() ? queued : added;
        }
        boolean addedIsNewer = added.sequence() >= queued.sequence();
        EndpointReport newer = addedIsNewer ? added : queued;
        EndpointReport older = addedIsNewer ? queued : added;
        EndpointReport details = newerDetails(newer, older);
        List<CacheEvent> events = new ArrayList<>(older.cacheEvents());
        events.addAll(newer.cacheEvents());
        return new EndpointReport(
                newer.id(),
                newer.epochMs(),
                newer.sequence(),
                details == null ? newer.detailsSequence() : details.detailsSequence(),
                newer.ageMs(),
                newer.load(),
                details == null ? Optional.empty() : withLaterPhase(details, newer, older),
                events);
    }

    private static EndpointReport newerDetails(EndpointReport newer, EndpointReport older) {
        if (newer.details().isEmpty()) {
            return older.details().isEmpty() ? null : older;
        }
        return older.details().isPresent() && older.detailsSequence() > newer.detailsSequence()
                ? older
                : newer;
    }

    /** The stage only advances, whichever report tells it. */
    private static Optional<EndpointDetails> withLaterPhase(
            EndpointReport details, EndpointReport newer, EndpointReport older) {
        EndpointDetails result = details.details().orElseThrow();
        for (EndpointReport report : List.of(newer, older)) {
            if (report.details().isPresent()) {
                result = result.withLaterPhase(report.details().get().phase());
            }
        }
        return Optional.of(result);
    }
}

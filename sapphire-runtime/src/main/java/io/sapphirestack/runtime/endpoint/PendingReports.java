package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointDetails;
import io.sapphirestack.core.membership.EndpointReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Combines reports of one endpoint that are queued for the same batch. */
final class PendingReports {
    private PendingReports() {}

    /**
     * Combines two reports of one endpoint into one with the newer load, the newer details and the
     * cache events of both. Of two processes of an endpoint, only the report of the newer process
     * is kept.
     *
     * @param queued report that is already queued
     * @param added report to add
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

    /**
     * Returns the details with the later phase of both reports, because a phase never goes back.
     */
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

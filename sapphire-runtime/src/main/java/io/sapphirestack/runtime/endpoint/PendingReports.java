package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointDetails;
import io.sapphirestack.core.membership.EndpointReport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Endpoint reports that are queued for the next batch to a neighbour. Not thread-safe. */
final class PendingReports {

    private final Map<EndpointId, EndpointReport> byId = new LinkedHashMap<>();
    private final Map<EndpointId, Long> queuedAtMs = new HashMap<>();

    /**
     * Queues a report, combined with one of the same endpoint that is already queued.
     *
     * @param report report
     * @param nowMs time on the monotonic clock, in milliseconds
     */
    void add(EndpointReport report, long nowMs) {
        EndpointReport old = byId.get(report.id());
        EndpointReport next = old == null ? report : combine(old, report);
        if (next != old) {
            byId.put(report.id(), next);
            queuedAtMs.put(report.id(), nowMs);
        }
    }

    /**
     * Removes and returns all reports, older by the time for which they were queued.
     *
     * @param maxCacheEvents maximum number of cache events in all reports together
     * @param nowMs time on the monotonic clock, in milliseconds
     */
    List<EndpointReport> takeAll(int maxCacheEvents, long nowMs) {
        List<EndpointReport> reports = new ArrayList<>(byId.size());
        int events = 0;
        for (EndpointReport report : byId.values()) {
            EndpointReport limited = limitCacheEvents(report, maxCacheEvents - events);
            events += limited.cacheEvents().size();
            reports.add(limited.withAge(report.ageMs() + nowMs - queuedAtMs.get(report.id())));
        }
        byId.clear();
        queuedAtMs.clear();
        return reports;
    }

    /** Keeps only the latest events, because they describe the current state of the cache best. */
    private static EndpointReport limitCacheEvents(EndpointReport report, int limit) {
        List<CacheEvent> all = report.cacheEvents();
        if (all.size() <= limit) {
            return report;
        }
        return new EndpointReport(
                report.id(),
                report.epochMs(),
                report.sequence(),
                report.detailsSequence(),
                report.ageMs(),
                report.load(),
                report.details(),
                all.subList(all.size() - limit, all.size()));
    }

    /**
     * Combines two reports of one endpoint into one with the newer load, the newer details and the
     * cache events of both. Of two processes of an endpoint, only the report of the newer process
     * is kept. The added one alone is kept if it has replaced the endpoint in the table, which
     * accepts older details only then.
     *
     * @param queued report that is already queued
     * @param added report to add
     * @return combined report
     */
    static EndpointReport combine(EndpointReport queued, EndpointReport added) {
        if (hasReplaced(queued, added)) {
            return added;
        }
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

    private static boolean hasReplaced(EndpointReport queued, EndpointReport added) {
        if (added.details().isEmpty()) {
            return false;
        }
        return queued.details()
                .map(details -> !details.service().equals(added.details().get().service()))
                .orElse(
                        added.epochMs() < queued.epochMs()
                                || added.epochMs() == queued.epochMs()
                                        && added.detailsSequence() < queued.detailsSequence());
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

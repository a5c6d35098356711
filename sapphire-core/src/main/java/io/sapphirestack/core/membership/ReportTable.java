package io.sapphirestack.core.membership;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.id.EndpointId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Endpoints known to one instance, merged from reports that may be delayed, duplicated or out of
 * order.
 *
 * <p>Load and details are two last-writer-wins registers ordered by (epoch, sequence) and (epoch,
 * detailsSequence), so merging is commutative, associative and idempotent. A removed endpoint
 * leaves a tombstone with its last (epoch, sequence) for {@link #TOMBSTONE_RETENTION_MS}, so that a
 * delayed report does not add it again. Not thread-safe.
 *
 * <p>A report of a service that is not named names no endpoint to use. It never replaces or hides a
 * report of a named service with the same identifier, whatever its epoch and sequence are, and
 * leaves no tombstone for it; a report of a named service replaces it.
 */
public final class ReportTable {
    /**
     * Age of the last report from which routing chooses an endpoint only if no other one is
     * available, in milliseconds.
     */
    public static final long SUSPECT_AFTER_MS = 3_000;

    /** Age of the last report from which an endpoint is removed, in milliseconds. */
    public static final long REMOVE_AFTER_MS = 10_000;

    /**
     * How long the tombstone of a removed endpoint is kept, in milliseconds. It exceeds the
     * duration of any call between instances, and is short enough for an endpoint whose wall clock
     * was set back to be accepted again soon.
     */
    public static final long TOMBSTONE_RETENTION_MS = 60_000;

    private final Map<EndpointId, MergedEndpointState> known = new HashMap<>();
    private final Map<Integer, MergedEndpointState> byHandle = new HashMap<>();
    private final Map<EndpointId, Tombstone> tombstones = new HashMap<>();

    /** Result of merging a report. */
    public enum MergeResult {
        /** The report changed the table and has to be passed on. */
        NEWER,
        /** The report contained nothing newer. */
        STALE,
        /** The endpoint's process is unknown and the report has no details. */
        DETAILS_MISSING
    }

    private record Tombstone(String service, long epochMs, long sequence, long expiresAtMs) {}

    private final Predicate<String> isNamedService;

    /** Creates a table for which all services are named. */
    public ReportTable() {
        this(service -> true);
    }

    /**
     * Creates a table.
     *
     * @param isNamedService returns whether the configuration names a service; the result may
     *     change with the configuration
     */
    public ReportTable(Predicate<String> isNamedService) {
        this.isNamedService = Objects.requireNonNull(isNamedService, "isNamedService");
    }

    /**
     * Merges a report.
     *
     * @param report report from an endpoint or an instance
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return whether the report contained anything newer
     */
    public MergeResult merge(EndpointReport report, long nowMs) {
        long reportedAtMs = nowMs - report.ageMs();
        if (report.ageMs() >= REMOVE_AFTER_MS || isCoveredByTombstone(report)) {
            return MergeResult.STALE;
        }
        MergedEndpointState old = known.get(report.id());
        if (old != null && isForeignTo(old, report)) {
            if (!isNamed(report)) {
                return MergeResult.STALE;
            }
            old = null;
        }
        if (old == null || report.epochMs() > old.epochMs()) {
            if (report.details().isEmpty()) {
                return MergeResult.DETAILS_MISSING;
            }
            put(
                    new MergedEndpointState(
                            report.id(),
                            report.epochMs(),
                            report.sequence(),
                            report.detailsSequence(),
                            withSlots(report.load(), report.details().get()),
                            report.details().get(),
                            reportedAtMs,
                            MergedEndpointState.handleOf(report.id(), report.epochMs())));
            return MergeResult.NEWER;
        }
        boolean newerLoad = report.sequence() > old.sequence();
        boolean newerDetails =
                report.details().isPresent() && report.detailsSequence() > old.detailsSequence();
        EndpointPhase phase =
                report.details().map(EndpointDetails::phase).orElse(old.details().phase());
        boolean laterPhase = phase.compareTo(old.details().phase()) > 0;
        if (report.epochMs() < old.epochMs() || !(newerLoad || newerDetails || laterPhase)) {
            return MergeResult.STALE;
        }
        EndpointDetails details =
                (newerDetails ? report.details().get() : old.details())
                        .withLaterPhase(phase)
                        .withLaterPhase(old.details().phase());
        put(
                new MergedEndpointState(
                        old.id(),
                        old.epochMs(),
                        Math.max(old.sequence(), report.sequence()),
                        newerDetails ? report.detailsSequence() : old.detailsSequence(),
                        withSlots(newerLoad ? report.load() : old.load(), details),
                        details,
                        newerLoad
                                ? Math.max(old.announcedAtMs(), reportedAtMs)
                                : old.announcedAtMs(),
                        old.handle()));
        return MergeResult.NEWER;
    }

    /**
     * Takes the slots from the details, so that the result does not depend on the order of reports.
     */
    private static EndpointLoad withSlots(EndpointLoad load, EndpointDetails details) {
        return load.slots() == details.slots()
                ? load
                : new EndpointLoad(
                        load.running(), load.queued(), details.slots(), load.tokensPerS());
    }

    /** Returns whether a known endpoint or a report is of a service that is named, but not both. */
    private boolean isForeignTo(MergedEndpointState known, EndpointReport report) {
        return report.details().isPresent()
                && isNamed(report) != isNamedService.test(known.details().service());
    }

    private boolean isNamed(EndpointReport report) {
        return report.details().map(EndpointDetails::service).filter(isNamedService).isPresent();
    }

    private boolean isCoveredByTombstone(EndpointReport report) {
        Tombstone tombstone = tombstones.get(report.id());
        boolean mayBeForeign = report.details().isEmpty() || isNamed(report);
        return tombstone != null
                && !(mayBeForeign && !isNamedService.test(tombstone.service()))
                && (report.epochMs() < tombstone.epochMs()
                        || report.epochMs() == tombstone.epochMs()
                                && report.sequence() <= tombstone.sequence());
    }

    private void put(MergedEndpointState next) {
        MergedEndpointState old = known.put(next.id(), next);
        if (old != null && old.handle() != next.handle()) {
            byHandle.remove(old.handle(), old);
        }
        byHandle.put(next.handle(), next);
        tombstones.remove(next.id());
    }

    /**
     * Removes endpoints whose last report is at least {@link #REMOVE_AFTER_MS} old, and expired
     * tombstones.
     *
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return identifiers of the removed endpoints, sorted
     */
    public List<EndpointId> expire(long nowMs) {
        tombstones.values().removeIf(t -> t.expiresAtMs() <= nowMs);
        List<EndpointId> expired = new ArrayList<>();
        for (MergedEndpointState endpoint : known.values()) {
            if (nowMs - endpoint.announcedAtMs() >= REMOVE_AFTER_MS) {
                expired.add(endpoint.id());
            }
        }
        Collections.sort(expired);
        for (EndpointId id : expired) {
            MergedEndpointState last = known.remove(id);
            byHandle.remove(last.handle(), last);
            tombstones.put(
                    id,
                    new Tombstone(
                            last.details().service(),
                            last.epochMs(),
                            last.sequence(),
                            nowMs + TOMBSTONE_RETENTION_MS));
        }
        return expired;
    }

    /** Returns an unmodifiable live view of the known endpoints. */
    public Collection<MergedEndpointState> endpoints() {
        return Collections.unmodifiableCollection(known.values());
    }

    /**
     * Finds an endpoint.
     *
     * @param id identifier of the endpoint
     * @return merged state, or empty if unknown
     */
    public Optional<MergedEndpointState> find(EndpointId id) {
        return Optional.ofNullable(known.get(id));
    }

    /**
     * Finds an endpoint by its handle.
     *
     * @param handle handle, see {@link MergedEndpointState#handleOf}
     * @return merged state, or empty if the process with this handle is unknown
     */
    public Optional<MergedEndpointState> findByHandle(int handle) {
        return Optional.ofNullable(byHandle.get(handle));
    }

    /**
     * Returns whether the handle of an endpoint resolves to it in this table. Reports of endpoints
     * with colliding handles are sent with details, because the handle does not identify them.
     *
     * @param endpoint known endpoint
     * @return whether {@link #findByHandle} returns this endpoint
     */
    public boolean hasUniqueHandle(MergedEndpointState endpoint) {
        MergedEndpointState found = byHandle.get(endpoint.handle());
        return found != null && found.id().equals(endpoint.id());
    }

    /**
     * Returns a hash over the known processes, their details sequences and their phases. Instances
     * with the same state have the same hash.
     */
    public long digest() {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        digestEntries()
                .forEach((handle, sequence) -> stream.putInt(handle).putLong(sequence.longValue()));
        return stream.getAsLong();
    }

    /**
     * Combines the details sequence and the phase, because the phase can advance without a newer
     * sequence.
     */
    private static long digestEntry(MergedEndpointState endpoint) {
        return endpoint.detailsSequence() * EndpointPhase.values().length
                + endpoint.details().phase().ordinal();
    }

    /**
     * Returns whether an entry of a digest lacks something that another one for the same endpoint
     * has: newer details, or a later phase. A late announcement has newer details than the report
     * that the endpoint is gone, but an earlier phase, so each may be behind the other.
     *
     * @param entry entry, {@code null} if the endpoint is unknown
     * @param other other entry
     * @return whether the other entry has to be sent to where the entry comes from
     */
    public static boolean isBehind(Long entry, long other) {
        long phases = EndpointPhase.values().length;
        return entry == null || entry < other || entry % phases < other % phases;
    }

    /** Returns the combined details sequence and phase of each known endpoint by its handle. */
    public Map<Integer, Long> digestEntries() {
        Map<Integer, Long> entries = new TreeMap<>();
        for (MergedEndpointState endpoint : known.values()) {
            entries.put(endpoint.handle(), digestEntry(endpoint));
        }
        return entries;
    }
}

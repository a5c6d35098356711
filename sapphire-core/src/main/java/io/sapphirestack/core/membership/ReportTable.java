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
import java.util.Optional;
import java.util.TreeMap;

/**
 * Endpoints known to one instance, merged from reports that may be late, repeated or out of order.
 *
 * <p>Load and details are two last-writer-wins registers ordered by (epoch, sequence) and (epoch,
 * detailsSequence), so merging is commutative, associative and idempotent. A removed endpoint
 * leaves its last (epoch, sequence) behind for {@link #REMEMBER_MS}, so that a late report does not
 * bring it back. Not thread-safe.
 */
public final class ReportTable {
    /** Silence after which an endpoint is used last, in milliseconds. */
    public static final long SUSPECT_AFTER_MS = 3_000;

    /** Silence after which an endpoint is removed, in milliseconds. */
    public static final long REMOVE_AFTER_MS = 10_000;

    /**
     * How long a removed endpoint is remembered, in milliseconds. Longer than any call between
     * instances lasts, and short enough that an endpoint whose wall clock was set back returns.
     */
    public static final long REMEMBER_MS = 60_000;

    private final Map<EndpointId, KnownEndpoint> known = new HashMap<>();
    private final Map<Integer, KnownEndpoint> byHandle = new HashMap<>();
    private final Map<EndpointId, Removed> removed = new HashMap<>();

    /** Result of merging a report. */
    public enum Merge {
        /** Something was newer; the report has to be passed on. */
        NEWER,
        /** Nothing was newer. */
        STALE,
        /** The life of the endpoint is not known and the report has no details. */
        DETAILS_MISSING
    }

    private record Removed(long epochMs, long sequence, long forgetAtMs) {}

    /**
     * Merges a report.
     *
     * @param report report from an endpoint or an instance
     * @param nowMs current time on the monotonic clock
     * @return whether anything was newer
     */
    public Merge merge(EndpointReport report, long nowMs) {
        long heardAtMs = nowMs - report.ageMs();
        if (report.ageMs() >= REMOVE_AFTER_MS || isRemoved(report)) {
            return Merge.STALE;
        }
        KnownEndpoint old = known.get(report.id());
        if (old == null || report.epochMs() > old.epochMs()) {
            if (report.details().isEmpty()) {
                return Merge.DETAILS_MISSING;
            }
            put(
                    new KnownEndpoint(
                            report.id(),
                            report.epochMs(),
                            report.sequence(),
                            report.detailsSequence(),
                            withSlots(report.load(), report.details().get()),
                            report.details().get(),
                            heardAtMs,
                            KnownEndpoint.handleOf(report.id(), report.epochMs())));
            return Merge.NEWER;
        }
        boolean newerLoad = report.sequence() > old.sequence();
        boolean newerDetails =
                report.details().isPresent() && report.detailsSequence() > old.detailsSequence();
        EndpointPhase phase =
                report.details().map(EndpointDetails::phase).orElse(old.details().phase());
        boolean laterPhase = phase.compareTo(old.details().phase()) > 0;
        if (report.epochMs() < old.epochMs() || !(newerLoad || newerDetails || laterPhase)) {
            return Merge.STALE;
        }
        EndpointDetails details =
                (newerDetails ? report.details().get() : old.details())
                        .withLaterPhase(phase)
                        .withLaterPhase(old.details().phase());
        put(
                new KnownEndpoint(
                        old.id(),
                        old.epochMs(),
                        Math.max(old.sequence(), report.sequence()),
                        newerDetails ? report.detailsSequence() : old.detailsSequence(),
                        withSlots(newerLoad ? report.load() : old.load(), details),
                        details,
                        newerLoad ? Math.max(old.heardAtMs(), heardAtMs) : old.heardAtMs(),
                        old.handle()));
        return Merge.NEWER;
    }

    /** Takes the slots from the details, so that the order of reports does not matter. */
    private static EndpointLoad withSlots(EndpointLoad load, EndpointDetails details) {
        return load.slots() == details.slots()
                ? load
                : new EndpointLoad(
                        load.running(), load.queued(), details.slots(), load.tokensPerS());
    }

    private boolean isRemoved(EndpointReport report) {
        Removed last = removed.get(report.id());
        return last != null
                && (report.epochMs() < last.epochMs()
                        || report.epochMs() == last.epochMs()
                                && report.sequence() <= last.sequence());
    }

    private void put(KnownEndpoint next) {
        KnownEndpoint old = known.put(next.id(), next);
        if (old != null && old.handle() != next.handle()) {
            byHandle.remove(old.handle(), old);
        }
        byHandle.put(next.handle(), next);
        removed.remove(next.id());
    }

    /**
     * Removes endpoints that were not heard for {@link #REMOVE_AFTER_MS}.
     *
     * @param nowMs current time on the monotonic clock
     * @return endpoints that were removed
     */
    public List<EndpointId> expire(long nowMs) {
        removed.values().removeIf(r -> r.forgetAtMs() <= nowMs);
        List<EndpointId> gone = new ArrayList<>();
        for (KnownEndpoint endpoint : known.values()) {
            if (nowMs - endpoint.heardAtMs() >= REMOVE_AFTER_MS) {
                gone.add(endpoint.id());
            }
        }
        Collections.sort(gone);
        for (EndpointId id : gone) {
            KnownEndpoint last = known.remove(id);
            byHandle.remove(last.handle(), last);
            removed.put(id, new Removed(last.epochMs(), last.sequence(), nowMs + REMEMBER_MS));
        }
        return gone;
    }

    /** Returns the known endpoints; a live view. */
    public Collection<KnownEndpoint> endpoints() {
        return Collections.unmodifiableCollection(known.values());
    }

    /**
     * Finds an endpoint.
     *
     * @param id name of the endpoint
     * @return merged state, or empty if unknown
     */
    public Optional<KnownEndpoint> find(EndpointId id) {
        return Optional.ofNullable(known.get(id));
    }

    /**
     * Finds the life of an endpoint by its short name.
     *
     * @param handle short name
     * @return merged state, or empty if this life is not known
     */
    public Optional<KnownEndpoint> findByHandle(int handle) {
        return Optional.ofNullable(byHandle.get(handle));
    }

    /**
     * Tells whether a short name is free of collisions here. Reports of colliding endpoints are
     * sent with details, because the short name does not identify them.
     *
     * @param endpoint known endpoint
     * @return whether the short name leads to this endpoint
     */
    public boolean hasUniqueHandle(KnownEndpoint endpoint) {
        KnownEndpoint found = byHandle.get(endpoint.handle());
        return found != null && found.id().equals(endpoint.id());
    }

    /** Returns a hash that is equal at two instances that know the same lives and details. */
    public long digest() {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        digestEntries()
                .forEach((handle, sequence) -> stream.putInt(handle).putLong(sequence.longValue()));
        return stream.getAsLong();
    }

    /** The stage of a life can advance without a newer sequence, so it is part of the entry. */
    private static long digestEntry(KnownEndpoint endpoint) {
        return endpoint.detailsSequence() * EndpointPhase.values().length
                + endpoint.details().phase().ordinal();
    }

    /** Returns the details sequence and stage of each known life by its short name. */
    public Map<Integer, Long> digestEntries() {
        Map<Integer, Long> entries = new TreeMap<>();
        for (KnownEndpoint endpoint : known.values()) {
            entries.put(endpoint.handle(), digestEntry(endpoint));
        }
        return entries;
    }
}

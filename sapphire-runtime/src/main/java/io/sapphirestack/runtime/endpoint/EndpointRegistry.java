package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointDetails;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.membership.EndpointReport;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.membership.ReportCodec;
import io.sapphirestack.core.membership.ReportTable;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.PrefixIndex;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.core.trust.KeyHash;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Merges announcements of endpoints and reports of other instances, publishes the {@code endpoints}
 * part of the blackboard, and updates the prefix index. Removes endpoints whose last report is too
 * old. Thread-safe.
 */
public final class EndpointRegistry {

    /**
     * Longest time for which an instance that has restarted and joined uses no endpoint because no
     * other instance has told what it knows, in milliseconds.
     */
    public static final long MAX_HOLD_MS = 4_000;

    private static final Logger LOG = Logger.getLogger(EndpointRegistry.class);
    private static final String STEP = "announcement";
    private static final long HELD_UNTIL_JOINED = Long.MAX_VALUE;

    private final BlackboardPart<EndpointTable> endpoints;
    private final Function<String, Optional<ServiceSpec>> services;
    private final PrefixIndex prefixes;
    private final MillisClock clock;

    private final Object lock = new Object();
    private final Supplier<Set<String>> namedServices;
    private final ReportTable table;
    private Consumer<EndpointReport> reportListener = report -> {};
    private long maxHoldMs;
    private long heldUntilMs;
    private boolean changed;

    /** Services that were named when the table was published last. */
    private Set<String> publishedFor = Set.of();

    /**
     * Creates a registry.
     *
     * @param endpoints blackboard part that this registry publishes
     * @param services returns the spec of a service, or empty if it is unknown
     * @param namedServices returns the names of the services that the configuration names now; an
     *     entry of another service names no endpoint to use, and changes nothing for those that do.
     *     Must be fast, thread-safe, and call nothing of this registry
     * @param prefixes prefix index that this registry updates
     * @param clock monotonic clock
     */
    public EndpointRegistry(
            BlackboardPart<EndpointTable> endpoints,
            Function<String, Optional<ServiceSpec>> services,
            Supplier<Set<String>> namedServices,
            PrefixIndex prefixes,
            MillisClock clock) {
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.services = Objects.requireNonNull(services, "services");
        this.namedServices = Objects.requireNonNull(namedServices, "namedServices");
        this.table = new ReportTable(this::isNamed);
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Sets the listener that passes announcements on to the other instances; called once before the
     * first announcement.
     *
     * @param target listener that is called with the report of each new announcement; must not
     *     block
     */
    void setReportListener(Consumer<EndpointReport> target) {
        synchronized (lock) {
            reportListener = Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Publishes no endpoint until another instance has told what it knows. An instance that has
     * just started cannot tell an old announcement, which is delivered late, from a new one.
     *
     * @param maxMs time from joining the fleet after which endpoints are published all the same, in
     *     milliseconds, for an instance that reaches no other one
     */
    public void holdUntilFirstExchange(long maxMs) {
        synchronized (lock) {
            maxHoldMs = maxMs;
            heldUntilMs = HELD_UNTIL_JOINED;
        }
    }

    /**
     * Records that this instance is in the fleet. The hold ends if it is the only one; otherwise it
     * lasts for the longest time from the first call on.
     *
     * @param hasNeighbours whether there are others to exchange with
     */
    void recordJoined(boolean hasNeighbours) {
        if (!hasNeighbours) {
            endHold();
            return;
        }
        synchronized (lock) {
            if (heldUntilMs == HELD_UNTIL_JOINED) {
                heldUntilMs = clock.nowMs() + maxHoldMs;
            }
        }
    }

    /** Ends the hold, because another instance has told what it knows, or there is none. */
    void endHold() {
        synchronized (lock) {
            heldUntilMs = 0;
        }
        publishIfChanged();
    }

    /**
     * Checks the key of an announcement and merges it.
     *
     * @param announcement announcement of an endpoint
     * @param bearerKey bearer key sent with the announcement
     * @throws RefusedException if the key is wrong, the service is unknown, or an endpoint of
     *     another service with a recent report has the same name
     */
    public void receive(EndpointAnnouncement announcement, String bearerKey)
            throws RefusedException {
        ServiceSpec service =
                services.apply(announcement.service())
                        .orElseThrow(
                                () ->
                                        refused(
                                                404,
                                                "not_found",
                                                "Service " + announcement.service() + " unknown."));
        if (!KeyHash.matches(service.endpointKeyHash(), bearerKey)) {
            LOG.warnf(
                    "SAP3001 Announcement of endpoint %s of service %s rejected: wrong key",
                    announcement.id(), announcement.service());
            throw refused(401, "unauthorized", "The key of the service is wrong.");
        }
        receiveTrusted(announcement);
    }

    /**
     * Merges an announcement from a source that needs no key.
     *
     * @param announcement announcement of an endpoint
     * @throws RefusedException if an endpoint of another service with a recent report has the same
     *     name
     */
    public void receiveTrusted(EndpointAnnouncement announcement) throws RefusedException {
        EndpointDetails details = EndpointDetails.of(announcement);
        Consumer<EndpointReport> listener;
        EndpointReport report;
        synchronized (lock) {
            Optional<MergedEndpointState> known = table.find(announcement.id());
            checkOwner(known, announcement);
            boolean sameDetails =
                    known.isPresent()
                            && known.get().epochMs() == announcement.epochMs()
                            && known.get()
                                    .details()
                                    .withLaterPhase(details.phase())
                                    .equals(known.get().details())
                            && known.get()
                                    .details()
                                    .equals(details.withLaterPhase(known.get().details().phase()));
            report = toReport(announcement, sameDetails ? known.get() : null, details);
            if (!merge(report)) {
                return;
            }
            listener = reportListener;
        }
        listener.accept(report);
        if (!report.isLoadOnly()) {
            publishIfChanged();
        }
    }

    /**
     * Records that the process of an endpoint has ended or is about to end.
     *
     * @param id name of the endpoint
     * @param epochMs wall-clock start time of the ending process in milliseconds, or empty for any
     *     process
     * @return whether this instance knows the endpoint with this start time
     */
    public boolean recordEnd(EndpointId id, OptionalLong epochMs) {
        EndpointReport report;
        Consumer<EndpointReport> listener;
        synchronized (lock) {
            Optional<MergedEndpointState> known =
                    table.find(id)
                            .filter(e -> epochMs.isEmpty() || epochMs.getAsLong() == e.epochMs());
            if (known.isEmpty()) {
                return false;
            }
            report = toEndedReport(known.get());
            if (!merge(report)) {
                return true;
            }
            listener = reportListener;
        }
        listener.accept(report);
        publishIfChanged();
        return true;
    }

    private EndpointReport toEndedReport(MergedEndpointState endpoint) {
        EndpointReport last = endpoint.toReport(clock.nowMs());
        return new EndpointReport(
                last.id(),
                last.epochMs(),
                last.sequence(),
                last.detailsSequence(),
                last.ageMs(),
                last.load(),
                last.details().map(details -> details.withLaterPhase(EndpointPhase.GONE)),
                List.of());
    }

    private boolean isNamed(String service) {
        return namedServices.get().contains(service);
    }

    /**
     * Refuses an announcement under the name of an endpoint of another service whose last report is
     * recent, unless only the service of the announcement is named.
     */
    private void checkOwner(Optional<MergedEndpointState> known, EndpointAnnouncement announcement)
            throws RefusedException {
        if (known.isPresent()
                && !known.get().details().service().equals(announcement.service())
                && (isNamed(known.get().details().service()) || !isNamed(announcement.service()))
                && clock.nowMs() - known.get().announcedAtMs() < ReportTable.SUSPECT_AFTER_MS) {
            throw refused(
                    400,
                    "bad_request",
                    "Endpoint " + announcement.id() + " belongs to another service.");
        }
    }

    private static RefusedException refused(int status, String code, String detail) {
        return new RefusedException(Refusal.notExecuted(status, code, STEP, detail));
    }

    private static EndpointReport toReport(
            EndpointAnnouncement announcement,
            MergedEndpointState sameAs,
            EndpointDetails details) {
        long detailsSequence =
                sameAs == null
                        ? announcement.sequence()
                        : Math.min(sameAs.detailsSequence(), announcement.sequence());
        return new EndpointReport(
                announcement.id(),
                announcement.epochMs(),
                announcement.sequence(),
                detailsSequence,
                0,
                announcement.load(),
                sameAs == null ? Optional.of(details) : Optional.empty(),
                announcement.cacheEvents());
    }

    /** Merges a report and returns whether it was newer. Must be called with the lock held. */
    private boolean merge(EndpointReport report) {
        long nowMs = clock.nowMs();
        long epochBefore =
                table.find(report.id()).map(MergedEndpointState::epochMs).orElse(Long.MIN_VALUE);
        if (table.merge(report, nowMs) != ReportTable.MergeResult.NEWER) {
            return false;
        }
        changed = true;
        if (epochBefore != report.epochMs()) {
            LOG.infof(
                    "SAP3002 New process of endpoint %s of service %s, epoch %d",
                    report.id(),
                    report.details().map(EndpointDetails::service).orElse(""),
                    report.epochMs());
        }
        prefixes.apply(report.id(), report.epochMs(), report.cacheEvents());
        return true;
    }

    /**
     * Result of merging a batch from another instance.
     *
     * @param newer reports that were newer and have to be passed on
     * @param missing handles of endpoints whose details are needed
     */
    record BatchMergeResult(List<EndpointReport> newer, List<Integer> missing) {}

    /**
     * Merges a batch from another instance.
     *
     * @param encoded batch encoded by {@link ReportCodec}
     * @return newer reports and missing details
     */
    BatchMergeResult mergeBatch(byte[] encoded) {
        List<EndpointReport> newer = new ArrayList<>();
        ReportCodec.Decoded decoded;
        boolean detailsChanged = false;
        synchronized (lock) {
            decoded =
                    ReportCodec.decode(encoded, handle -> table.findByHandle(handle).orElse(null));
            for (EndpointReport report : decoded.reports()) {
                if (merge(report)) {
                    newer.add(report);
                    detailsChanged |= !report.isLoadOnly();
                }
            }
        }
        if (detailsChanged) {
            publishIfChanged();
        }
        return new BatchMergeResult(newer, decoded.missing());
    }

    /**
     * Encodes reports for another instance. Reports of endpoints with colliding handles are sent
     * with details, because the handle does not identify them; so are those of services that are
     * not named, which may have copied identifier and epoch of an endpoint.
     *
     * @param reports reports to send
     * @return batch encoded by {@link ReportCodec}
     */
    byte[] encode(Collection<EndpointReport> reports) {
        List<EndpointReport> prepared = new ArrayList<>(reports.size());
        synchronized (lock) {
            for (EndpointReport report : reports) {
                MergedEndpointState known = table.find(report.id()).orElse(null);
                boolean full =
                        report.isLoadOnly()
                                && known != null
                                && known.epochMs() == report.epochMs()
                                && (!table.hasUniqueHandle(known)
                                        || !isNamed(known.details().service()));
                prepared.add(full ? known.toReport(clock.nowMs()) : report);
            }
        }
        return ReportCodec.encode(prepared);
    }

    /**
     * Returns full reports of endpoints.
     *
     * @param handles handles of the endpoints; unknown ones are ignored
     * @return reports with details
     */
    List<EndpointReport> fullReports(Collection<Integer> handles) {
        Set<Integer> wanted = new HashSet<>(handles);
        long nowMs = clock.nowMs();
        List<EndpointReport> reports = new ArrayList<>();
        synchronized (lock) {
            for (MergedEndpointState endpoint : table.endpoints()) {
                if (wanted.contains(endpoint.handle())) {
                    reports.add(endpoint.toReport(nowMs));
                }
            }
        }
        return reports;
    }

    /** Returns the report with details of an endpoint, empty if it is unknown. */
    List<EndpointReport> fullReport(EndpointId id) {
        synchronized (lock) {
            return table.find(id)
                    .map(endpoint -> List.of(endpoint.toReport(clock.nowMs())))
                    .orElse(List.of());
        }
    }

    /**
     * Replaces endpoint names by handles.
     *
     * @param byId values by endpoint name; unknown endpoints are omitted
     * @return values by handle
     */
    Map<Integer, Integer> toHandles(Map<EndpointId, Integer> byId) {
        Map<Integer, Integer> result = new HashMap<>();
        synchronized (lock) {
            byId.forEach(
                    (id, value) ->
                            table.find(id).ifPresent(known -> result.put(known.handle(), value)));
        }
        return result;
    }

    /** Returns the number of known endpoints. */
    int endpointCount() {
        synchronized (lock) {
            return table.endpoints().size();
        }
    }

    /** Returns a hash over the known endpoints, see {@link ReportTable#digest}. */
    long digest() {
        synchronized (lock) {
            return table.digest();
        }
    }

    /**
     * Returns the details sequence and phase of each known endpoint by its handle, see {@link
     * ReportTable#digestEntries}.
     */
    Map<Integer, Long> digestEntries() {
        synchronized (lock) {
            return table.digestEntries();
        }
    }

    /**
     * Removes endpoints whose last report is too old, and publishes the table if it or the set of
     * named services has changed.
     */
    public void tick() {
        List<EndpointId> expired;
        synchronized (lock) {
            expired = table.expire(clock.nowMs());
            changed |= !expired.isEmpty();
        }
        for (EndpointId id : expired) {
            LOG.warnf(
                    "SAP3003 Endpoint %s removed: no report for %d ms",
                    id, ReportTable.REMOVE_AFTER_MS);
            prefixes.remove(id);
        }
        publishIfChanged();
    }

    private void publishIfChanged() {
        synchronized (lock) {
            Set<String> named = namedServices.get();
            if (!changed && named.equals(publishedFor) || clock.nowMs() < heldUntilMs) {
                return;
            }
            changed = false;
            publishedFor = named;
            Map<EndpointId, EndpointState> states = new HashMap<>();
            for (MergedEndpointState endpoint : table.endpoints()) {
                EndpointDetails details = endpoint.details();
                states.put(
                        endpoint.id(),
                        new EndpointState(
                                endpoint.id(),
                                details.service(),
                                details.address(),
                                details.availabilityZone(),
                                endpoint.epochMs(),
                                Set.copyOf(details.models()),
                                endpoint.load(),
                                details.phase(),
                                endpoint.announcedAtMs(),
                                details.version()));
            }
            // Published with the lock held, so that an older table never replaces a newer one.
            endpoints.publish(new EndpointTable(states, named::contains));
        }
    }
}

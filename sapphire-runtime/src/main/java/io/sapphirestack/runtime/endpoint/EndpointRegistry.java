package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointDetails;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.membership.EndpointReport;
import io.sapphirestack.core.membership.KnownEndpoint;
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
import org.jboss.logging.Logger;

/**
 * Owner of the {@code endpoints} part and of the prefix index. Takes announcements and reports from
 * other instances, and removes endpoints that fall silent. Thread-safe.
 */
public final class EndpointRegistry implements AnnouncementReceiver {
    private static final Logger LOG = Logger.getLogger(EndpointRegistry.class);
    private static final String STEP = "announcement";

    private final BlackboardPart<EndpointTable> endpoints;
    private final Function<String, Optional<ServiceSpec>> services;
    private final PrefixIndex prefixes;
    private final MillisClock clock;

    private final Object lock = new Object();
    private final ReportTable table = new ReportTable();
    private Consumer<EndpointReport> spreader = report -> {};
    private boolean changed;

    /**
     * Creates a registry.
     *
     * @param endpoints part that this registry owns
     * @param services returns the spec of a service
     * @param prefixes prefix index that this registry owns
     * @param clock monotonic clock
     */
    public EndpointRegistry(
            BlackboardPart<EndpointTable> endpoints,
            Function<String, Optional<ServiceSpec>> services,
            PrefixIndex prefixes,
            MillisClock clock) {
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.services = Objects.requireNonNull(services, "services");
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Sets who passes announcements on to the other instances; called once before the first
     * announcement.
     *
     * @param target takes each announcement that is new; must not block
     */
    void setSpreader(Consumer<EndpointReport> target) {
        synchronized (lock) {
            spreader = Objects.requireNonNull(target, "target");
        }
    }

    @Override
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
                    "SAP3001 Endpoint %s of service %s announced itself with a wrong key",
                    announcement.id(), announcement.service());
            throw refused(401, "unauthorized", "The key of the service is wrong.");
        }
        accept(announcement);
    }

    /**
     * Merges an announcement whose sender needs no key.
     *
     * @param announcement what an endpoint told
     * @throws RefusedException if the name belongs to a live endpoint of another service
     */
    public void accept(EndpointAnnouncement announcement) throws RefusedException {
        EndpointDetails details = EndpointDetails.of(announcement);
        Consumer<EndpointReport> target;
        EndpointReport report;
        synchronized (lock) {
            Optional<KnownEndpoint> known = table.find(announcement.id());
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
            target = spreader;
        }
        target.accept(report);
        if (!report.isLoadOnly()) {
            publishIfChanged();
        }
    }

    /**
     * Records that an endpoint has ended or is about to end.
     *
     * @param id name of the endpoint
     * @param epochMs start time of the process that ends, or empty if the endpoint did not tell
     * @return whether the endpoint is known here
     */
    public boolean leave(EndpointId id, OptionalLong epochMs) {
        EndpointReport report;
        Consumer<EndpointReport> target;
        synchronized (lock) {
            Optional<KnownEndpoint> known =
                    table.find(id)
                            .filter(e -> epochMs.isEmpty() || epochMs.getAsLong() == e.epochMs());
            if (known.isEmpty()) {
                return false;
            }
            report = leaving(known.get());
            if (!merge(report)) {
                return true;
            }
            target = spreader;
        }
        target.accept(report);
        publishIfChanged();
        return true;
    }

    private EndpointReport leaving(KnownEndpoint endpoint) {
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

    /** Refuses to let one service take over the name of a live endpoint of another. */
    private void checkOwner(Optional<KnownEndpoint> known, EndpointAnnouncement announcement)
            throws RefusedException {
        if (known.isPresent()
                && !known.get().details().service().equals(announcement.service())
                && clock.nowMs() - known.get().heardAtMs() < ReportTable.SUSPECT_AFTER_MS) {
            throw refused(
                    400,
                    "bad_request",
                    "Endpoint " + announcement.id() + " belongs to another service.");
        }
    }

    private static RefusedException refused(int status, String code, String detail) {
        return new RefusedException(Refusal.notRun(status, code, STEP, detail));
    }

    private static EndpointReport toReport(
            EndpointAnnouncement announcement, KnownEndpoint sameAs, EndpointDetails details) {
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

    /** Merges a report; the caller holds the lock. */
    private boolean merge(EndpointReport report) {
        long nowMs = clock.nowMs();
        long epochBefore =
                table.find(report.id()).map(KnownEndpoint::epochMs).orElse(Long.MIN_VALUE);
        if (table.merge(report, nowMs) != ReportTable.Merge.NEWER) {
            return false;
        }
        changed = true;
        if (epochBefore != report.epochMs()) {
            LOG.infof(
                    "SAP3002 Endpoint %s of service %s is known, epoch %d",
                    report.id(),
                    report.details().map(EndpointDetails::service).orElse(""),
                    report.epochMs());
        }
        prefixes.apply(report.id(), report.epochMs(), report.cacheEvents());
        return true;
    }

    /**
     * Result of merging a batch of another instance.
     *
     * @param newer reports to pass on
     * @param missing short names of endpoints whose details are needed
     */
    record Merged(List<EndpointReport> newer, List<Integer> missing) {}

    /**
     * Merges a batch of another instance.
     *
     * @param encoded batch in the form of {@link ReportCodec}
     * @return what was new and what is missing
     */
    Merged mergeBatch(byte[] encoded) {
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
        return new Merged(newer, decoded.missing());
    }

    /**
     * Encodes reports for another instance. Reports of endpoints whose short name collides with
     * another carry their details.
     *
     * @param reports reports to send
     * @return batch in the form of {@link ReportCodec}
     */
    byte[] encode(Collection<EndpointReport> reports) {
        List<EndpointReport> prepared = new ArrayList<>(reports.size());
        synchronized (lock) {
            for (EndpointReport report : reports) {
                KnownEndpoint known = table.find(report.id()).orElse(null);
                boolean full =
                        report.isLoadOnly()
                                && known != null
                                && known.epochMs() == report.epochMs()
                                && !table.hasUniqueHandle(known);
                prepared.add(full ? known.toReport(clock.nowMs()) : report);
            }
        }
        return ReportCodec.encode(prepared);
    }

    /**
     * Returns full reports.
     *
     * @param handles short names of the wanted endpoints; unknown ones are left out
     * @return reports with details
     */
    List<EndpointReport> fullReports(Collection<Integer> handles) {
        Set<Integer> wanted = new HashSet<>(handles);
        long nowMs = clock.nowMs();
        List<EndpointReport> reports = new ArrayList<>();
        synchronized (lock) {
            for (KnownEndpoint endpoint : table.endpoints()) {
                if (wanted.contains(endpoint.handle())) {
                    reports.add(endpoint.toReport(nowMs));
                }
            }
        }
        return reports;
    }

    /**
     * Translates names to short names.
     *
     * @param byId values by name; unknown endpoints are left out
     * @return values by short name
     */
    Map<Integer, Integer> byHandle(Map<EndpointId, Integer> byId) {
        Map<Integer, Integer> result = new HashMap<>();
        synchronized (lock) {
            byId.forEach(
                    (id, value) ->
                            table.find(id).ifPresent(known -> result.put(known.handle(), value)));
        }
        return result;
    }

    /** Returns the number of known endpoints. */
    int size() {
        synchronized (lock) {
            return table.endpoints().size();
        }
    }

    /** Returns a hash of the known lives and details. */
    long digest() {
        synchronized (lock) {
            return table.digest();
        }
    }

    /** Returns the details sequence of each known life by its short name. */
    Map<Integer, Long> digestEntries() {
        synchronized (lock) {
            return table.digestEntries();
        }
    }

    /** Removes silent endpoints and publishes the table if it changed. */
    public void tick() {
        List<EndpointId> gone;
        synchronized (lock) {
            gone = table.expire(clock.nowMs());
            changed |= !gone.isEmpty();
        }
        for (EndpointId id : gone) {
            LOG.warnf(
                    "SAP3003 Endpoint %s is removed, silent for %d ms",
                    id, ReportTable.REMOVE_AFTER_MS);
            prefixes.forget(id);
        }
        publishIfChanged();
    }

    private void publishIfChanged() {
        synchronized (lock) {
            if (!changed) {
                return;
            }
            changed = false;
            Map<EndpointId, EndpointState> states = new HashMap<>();
            for (KnownEndpoint endpoint : table.endpoints()) {
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
                                endpoint.heardAtMs()));
            }
            // Published under the lock, so that an older table never replaces a newer one.
            endpoints.publish(new EndpointTable(states));
        }
    }
}

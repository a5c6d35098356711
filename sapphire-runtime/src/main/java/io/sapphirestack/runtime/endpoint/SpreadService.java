package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.UsageTable;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointReport;
import io.sapphirestack.core.membership.InFlightAggregator;
import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.membership.RepeatAggregator;
import io.sapphirestack.core.membership.SpreadTree;
import io.sapphirestack.core.membership.UsageAggregator;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Passes endpoint reports, account usage, work in flight and the use of repeat budgets on to the
 * neighbours in the dissemination tree. Thread-safe. {@link #tick()} does all periodic work and is
 * called every {@link #BATCH_MS}.
 */
public final class SpreadService implements AutoCloseable {
    /** Time between two batches to a neighbour, in milliseconds. */
    public static final long BATCH_MS = 100;

    /** Time between two anti-entropy exchanges with a neighbour, in milliseconds. */
    public static final long EXCHANGE_MS = 10_000;

    /**
     * Most cache events per batch and neighbour. The index tolerates gaps, and events are what
     * would otherwise exceed the traffic budget when many new prompts arrive.
     */
    public static final int MAX_CACHE_EVENTS = 64;

    /**
     * The same above {@link InFlightAggregator#MAX_ENDPOINTS} endpoints, where the load reports
     * leave little of the budget of 22 KB/s.
     */
    public static final int MAX_CACHE_EVENTS_LARGE = 2;

    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final Logger LOG = Logger.getLogger(SpreadService.class);

    private final PeerTransport transport;
    private final BlackboardPart<ControlView> control;
    private final BlackboardPart<Optional<InstanceRef>> self;
    private final EndpointRegistry registry;
    private final SpreadParts parts;
    private final SpreadSources sources;
    private final int fanOut;
    private final MillisClock clock;

    private final Object lock = new Object();
    private final UsageAggregator usage = new UsageAggregator();
    private final InFlightAggregator inFlight = new InFlightAggregator();
    private final RepeatAggregator repeats = new RepeatAggregator();
    private final Map<InstanceId, Neighbour> neighbours = new HashMap<>();
    private Set<InstanceInfo> treeMembers = Set.of();
    private InstanceId own;
    private SpreadTree tree = new SpreadTree(List.of(), 1);
    private final PeriodicTask periodic =
            new PeriodicTask(
                    this::tick, BATCH_MS, e -> LOG.error("SAP3010 Dissemination step failed", e));

    /**
     * Creates a service and makes it the spreader of the registry.
     *
     * @param transport sends to the neighbours
     * @param control published membership
     * @param self current incarnation
     * @param registry merges reports
     * @param parts parts that this service owns
     * @param sources local state that is disseminated
     * @param fanOut number of children in the tree
     * @param clock monotonic clock
     */
    public SpreadService(
            PeerTransport transport,
            BlackboardPart<ControlView> control,
            BlackboardPart<Optional<InstanceRef>> self,
            EndpointRegistry registry,
            SpreadParts parts,
            SpreadSources sources,
            int fanOut,
            MillisClock clock) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.control = Objects.requireNonNull(control, "control");
        this.self = Objects.requireNonNull(self, "self");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.sources = Objects.requireNonNull(sources, "sources");
        this.fanOut = fanOut;
        this.clock = Objects.requireNonNull(clock, "clock");
        registry.setSpreader(report -> enqueue(List.of(report), null));
    }

    /** What is kept per neighbour. */
    private static final class Neighbour {
        private final InstanceInfo info;
        private final Map<EndpointId, EndpointReport> pending = new LinkedHashMap<>();
        private final Map<EndpointId, Long> pendingSinceMs = new HashMap<>();
        private long nextExchangeMs;
        private boolean exchanging;

        Neighbour(InstanceInfo info, long nextExchangeMs) {
            this.info = info;
            this.nextExchangeMs = nextExchangeMs;
        }
    }

    /**
     * Registers the handlers; called before the transport starts.
     *
     * @param handlers registry of the transport
     */
    public void register(PeerHandlerRegistry handlers) {
        handlers.register(
                SpreadBatch.class,
                request -> CompletableFuture.completedFuture(handleBatch(request)));
        handlers.register(
                SpreadExchange.class,
                request -> CompletableFuture.completedFuture(handleExchange(request)));
    }

    /**
     * Starts the periodic work.
     *
     * @param scheduler runs {@link #tick()} and {@link EndpointRegistry#tick()}
     */
    public void start(ScheduledExecutorService scheduler) {
        periodic.start(scheduler);
    }

    @Override
    public void close() {
        periodic.close();
    }

    /** Publishes the endpoint table, sends batches, and starts exchanges that are due. */
    public void tick() {
        registry.tick();
        UsageTable local = sources.usage().get();
        // Many endpoints would make the changes exceed the traffic budget.
        boolean spreadsWork = registry.size() <= sources.workLimitEndpoints();
        Map<Integer, Integer> work =
                spreadsWork ? registry.byHandle(sources.inFlight().get()) : Map.of();
        List<Runnable> sends = new ArrayList<>();
        synchronized (lock) {
            updateTree();
            long nowMs = clock.nowMs();
            for (Neighbour neighbour : neighbours.values()) {
                boolean exchangeDue = nowMs >= neighbour.nextExchangeMs && !neighbour.exchanging;
                SpreadBatch batch = nextBatch(neighbour, local, work, exchangeDue, nowMs);
                if (!batch.saysNothing()) {
                    sends.add(() -> send(neighbour, batch));
                }
                if (exchangeDue) {
                    neighbour.exchanging = true;
                    neighbour.nextExchangeMs = nowMs + EXCHANGE_MS;
                    sends.add(() -> startExchange(neighbour));
                }
            }
            parts.usage().publish(usage.others());
            parts.repeats().publish(repeats.others());
            parts.inFlight()
                    .publish(
                            spreadsWork && tree.contains(own)
                                    ? inFlight.others()
                                    : InFlightTable.UNKNOWN);
        }
        sends.forEach(Runnable::run);
    }

    /** Follows the membership; a new neighbour gets a full exchange at once. */
    private void updateTree() {
        Set<InstanceInfo> members = Set.copyOf(control.read().instances().values());
        InstanceId id = self.read().map(InstanceRef::id).orElse(null);
        if (members.equals(treeMembers) && Objects.equals(id, own)) {
            return;
        }
        treeMembers = members;
        own = id;
        tree = new SpreadTree(members, fanOut);
        Map<InstanceId, InstanceInfo> next =
                id == null
                        ? Map.of()
                        : tree.neighbours(id).stream()
                                .collect(Collectors.toMap(i -> i.ref().id(), i -> i));
        neighbours.values().removeIf(n -> !n.info.equals(next.get(n.info.ref().id())));
        long nowMs = clock.nowMs();
        next.forEach((n, info) -> neighbours.computeIfAbsent(n, x -> new Neighbour(info, nowMs)));
        usage.retainNeighbours(neighbours.keySet());
        inFlight.retainNeighbours(neighbours.keySet());
        repeats.retainNeighbours(neighbours.keySet());
        LOG.debugf("SAP3011 Tree of %d instances, own neighbours %s", tree.size(), next.keySet());
    }

    private SpreadBatch nextBatch(
            Neighbour neighbour,
            UsageTable local,
            Map<Integer, Integer> work,
            boolean probe,
            long nowMs) {
        List<EndpointReport> reports = new ArrayList<>(neighbour.pending.size());
        int events = 0;
        int maxEvents =
                registry.size() <= InFlightAggregator.MAX_ENDPOINTS
                        ? MAX_CACHE_EVENTS
                        : MAX_CACHE_EVENTS_LARGE;
        for (EndpointReport report : neighbour.pending.values()) {
            EndpointReport out = withEvents(report, maxEvents - events);
            events += out.cacheEvents().size();
            long queuedMs = nowMs - neighbour.pendingSinceMs.get(report.id());
            reports.add(out.withAge(report.ageMs() + queuedMs));
        }
        neighbour.pending.clear();
        neighbour.pendingSinceMs.clear();
        return new SpreadBatch(
                own,
                tree.fingerprint(),
                registry.encode(reports),
                usage.encodeFor(
                        neighbour.info.ref().id(), local, sources.urgentAccount(), probe, nowMs),
                inFlight.encodeFor(neighbour.info.ref().id(), work, probe),
                repeats.encodeFor(
                        neighbour.info.ref().id(), sources.repeats().get().byHandle(), probe));
    }

    /** Keeps the last events, which describe the present state of the cache best. */
    private static EndpointReport withEvents(EndpointReport report, int limit) {
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

    private void send(Neighbour neighbour, SpreadBatch batch) {
        transport
                .call(neighbour.info.peerAddress(), batch, CALL_TIMEOUT_MS)
                .whenComplete(
                        (ack, failure) -> {
                            if (failure != null) {
                                recordLoss(neighbour);
                                return;
                            }
                            if (ack.x()) {
                                resendSums(neighbour);
                            }
                            if (!ack.m().isEmpty()) {
                                enqueueTo(neighbour, registry.fullReports(ack.m()));
                            }
                        });
    }

    /** After a lost batch the neighbour may lack details, so an exchange is due at once. */
    private void recordLoss(Neighbour neighbour) {
        synchronized (lock) {
            neighbour.nextExchangeMs = Math.min(neighbour.nextExchangeMs, clock.nowMs());
            resendSums(neighbour);
        }
    }

    private void resendSums(Neighbour neighbour) {
        synchronized (lock) {
            usage.resend(neighbour.info.ref().id());
            inFlight.resend(neighbour.info.ref().id());
            repeats.resend(neighbour.info.ref().id());
        }
    }

    private SpreadBatch.Ack handleBatch(SpreadBatch batch) {
        EndpointRegistry.Merged merged = registry.mergeBatch(batch.r());
        enqueue(merged.newer(), batch.s());
        boolean applied = false;
        synchronized (lock) {
            if (batch.t() == tree.fingerprint() && neighbours.containsKey(batch.s())) {
                applied =
                        usage.receive(batch.s(), batch.u())
                                & inFlight.receive(batch.s(), batch.f())
                                & repeats.receive(batch.s(), batch.b());
            }
        }
        return new SpreadBatch.Ack(merged.missing(), !applied);
    }

    /** Queues reports for all neighbours except the one that they came from. */
    private void enqueue(Collection<EndpointReport> reports, InstanceId from) {
        if (reports.isEmpty()) {
            return;
        }
        synchronized (lock) {
            for (Neighbour neighbour : neighbours.values()) {
                if (!neighbour.info.ref().id().equals(from)) {
                    reports.forEach(report -> queue(neighbour, report));
                }
            }
        }
    }

    private void enqueueTo(Neighbour neighbour, Collection<EndpointReport> reports) {
        synchronized (lock) {
            reports.forEach(report -> queue(neighbour, report));
        }
    }

    /** Replaces an older report of the same endpoint but keeps its details and cache events. */
    private void queue(Neighbour neighbour, EndpointReport report) {
        EndpointReport old = neighbour.pending.get(report.id());
        EndpointReport next = old == null ? report : PendingReports.combine(old, report);
        if (next != old) {
            neighbour.pending.put(report.id(), next);
            neighbour.pendingSinceMs.put(report.id(), clock.nowMs());
        }
    }

    private void startExchange(Neighbour neighbour) {
        exchange(neighbour, new SpreadExchange(own, registry.digest(), Map.of(), false))
                .thenCompose(
                        reply ->
                                reply.equal()
                                        ? CompletableFuture.completedFuture(reply)
                                        : exchange(
                                                neighbour,
                                                new SpreadExchange(
                                                        own,
                                                        registry.digest(),
                                                        registry.digestEntries(),
                                                        true)))
                .whenComplete((reply, failure) -> endExchange(neighbour, reply, failure));
    }

    private CompletableFuture<SpreadExchange.Reply> exchange(
            Neighbour neighbour, SpreadExchange request) {
        return transport.call(neighbour.info.peerAddress(), request, CALL_TIMEOUT_MS);
    }

    private void endExchange(Neighbour neighbour, SpreadExchange.Reply reply, Throwable failure) {
        synchronized (lock) {
            neighbour.exchanging = false;
            if (failure != null) {
                // Repeated soon, because a lost exchange leaves the neighbour without details.
                neighbour.nextExchangeMs =
                        Math.min(neighbour.nextExchangeMs, clock.nowMs() + CALL_TIMEOUT_MS);
                return;
            }
        }
        enqueue(registry.mergeBatch(reply.reports()).newer(), neighbour.info.ref().id());
        enqueueTo(neighbour, registry.fullReports(reply.wanted()));
    }

    private SpreadExchange.Reply handleExchange(SpreadExchange request) {
        if (request.digest() == registry.digest()) {
            return new SpreadExchange.Reply(true, new byte[0], List.of());
        }
        if (!request.complete()) {
            return new SpreadExchange.Reply(false, new byte[0], List.of());
        }
        Map<Integer, Long> mine = registry.digestEntries();
        List<Integer> lacking = new ArrayList<>();
        mine.forEach(
                (handle, sequence) -> {
                    if (request.entries().getOrDefault(handle, -1L) < sequence) {
                        lacking.add(handle);
                    }
                });
        List<Integer> wanted = new ArrayList<>();
        request.entries()
                .forEach(
                        (handle, sequence) -> {
                            if (mine.getOrDefault(handle, -1L) < sequence) {
                                wanted.add(handle);
                            }
                        });
        return new SpreadExchange.Reply(
                false, registry.encode(registry.fullReports(lacking)), wanted);
    }
}

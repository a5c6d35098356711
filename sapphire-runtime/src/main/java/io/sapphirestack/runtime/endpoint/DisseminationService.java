package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.membership.DisseminationTree;
import io.sapphirestack.core.membership.EndpointReport;
import io.sapphirestack.core.membership.InFlightAggregator;
import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.membership.RateLimitAggregator;
import io.sapphirestack.core.membership.ReportTable;
import io.sapphirestack.core.membership.RetryBudgetAggregator;
import io.sapphirestack.core.membership.UsageAggregator;
import io.sapphirestack.core.membership.VersionCountsAggregator;
import io.sapphirestack.core.quarantine.CrashHistory;
import io.sapphirestack.core.quarantine.CrashReport;
import io.sapphirestack.core.quarantine.EvidenceExchange;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
 * Sends endpoint reports, account usage, requests in flight, the use of retry budgets, rate limits,
 * counts of rollouts and crashes to the neighbours in the dissemination tree, crashes at once and
 * the rest in periodic batches. Periodic anti-entropy exchanges repair what a neighbour missed.
 * {@link #tick()} does all periodic work and is called every {@link #BATCH_INTERVAL_MS}.
 * Thread-safe.
 */
public final class DisseminationService implements AutoCloseable {
    /** Time between two batches to a neighbour, in milliseconds. */
    public static final long BATCH_INTERVAL_MS = 100;

    /** Time between two anti-entropy exchanges with a neighbour, in milliseconds. */
    public static final long ANTI_ENTROPY_INTERVAL_MS = 10_000;

    /**
     * Maximum number of cache events per batch and neighbour. Without a limit they would exceed the
     * traffic budget when many new prompts arrive; the prefix index tolerates missing events.
     */
    public static final int MAX_CACHE_EVENTS = 64;

    /**
     * Maximum number of cache events per batch and neighbour with more than {@link
     * InFlightAggregator#MAX_ENDPOINTS} endpoints, whose load reports take most of the traffic
     * budget of 22 KB/s.
     */
    public static final int MAX_CACHE_EVENTS_LARGE_FLEET = 2;

    /**
     * Time from the observation of a crash to its batch, in milliseconds. A request that crashes
     * endpoints reaches the next one within tens of milliseconds, so its crashes do not wait for
     * the next tick; those of other requests at the same endpoint go along.
     */
    static final long CRASH_BATCH_DELAY_MS = 5;

    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final Logger LOG = Logger.getLogger(DisseminationService.class);

    private final PeerTransport transport;
    private final BlackboardPart<ControlView> control;
    private final BlackboardPart<Optional<InstanceRef>> self;
    private final EndpointRegistry registry;
    private final DisseminationBlackboardParts parts;
    private final DisseminationSources sources;
    private final int fanOut;
    private final MillisClock clock;

    private final Object lock = new Object();
    private final UsageAggregator usage = new UsageAggregator();
    private final InFlightAggregator inFlight = new InFlightAggregator();
    private final RetryBudgetAggregator retryBudgets = new RetryBudgetAggregator();
    private final RateLimitAggregator rateLimits = new RateLimitAggregator();
    private final VersionCountsAggregator versionCounts = new VersionCountsAggregator();
    private final EvidenceExchange<CrashReport> crashReports;
    private final EvidenceExchange<CrashHistory> crashHistories;
    private final Map<InstanceId, DisseminationNeighbour> neighbours = new HashMap<>();
    private Set<InstanceInfo> treeMembers = Set.of();
    private InstanceId ownId;
    private DisseminationTree tree = new DisseminationTree(List.of(), 1);
    private final PeriodicTask periodic =
            new PeriodicTask(
                    this::tick,
                    BATCH_INTERVAL_MS,
                    e -> LOG.error("SAP3010 Dissemination tick failed", e));
    private final CoalescingTask crashBatches =
            new CoalescingTask(
                    this::sendCrashes,
                    CRASH_BATCH_DELAY_MS,
                    e -> LOG.error("SAP3012 Sending crashes failed; the next tick sends them", e));

    /**
     * Creates a service and registers it as the report listener of the registry.
     *
     * @param transport sends to the neighbours
     * @param control published control view with the live instances
     * @param self current incarnation of this instance, empty if it has not joined
     * @param registry merges the reports received
     * @param parts blackboard parts that this service publishes
     * @param sources local state that is disseminated
     * @param fanOut number of children in the dissemination tree, positive
     * @param clock monotonic clock
     */
    public DisseminationService(
            PeerTransport transport,
            BlackboardPart<ControlView> control,
            BlackboardPart<Optional<InstanceRef>> self,
            EndpointRegistry registry,
            DisseminationBlackboardParts parts,
            DisseminationSources sources,
            int fanOut,
            MillisClock clock) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.control = Objects.requireNonNull(control, "control");
        this.self = Objects.requireNonNull(self, "self");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.sources = Objects.requireNonNull(sources, "sources");
        this.crashReports = EvidenceExchange.ofReports(sources.crashEvidence().reports());
        this.crashHistories = EvidenceExchange.ofHistories(sources.crashEvidence().histories());
        this.fanOut = fanOut;
        this.clock = Objects.requireNonNull(clock, "clock");
        registry.setReportListener(report -> enqueue(List.of(report), null));
        sources.crashEvidence().setChangeListener(crashBatches::request);
    }

    /**
     * Registers the message handlers; must be called before the transport starts.
     *
     * @param handlers registry of the transport
     */
    public void register(PeerHandlerRegistry handlers) {
        handlers.register(
                DisseminationBatch.class,
                request -> CompletableFuture.completedFuture(handleBatch(request)));
        handlers.register(
                AntiEntropyRequest.class,
                request -> CompletableFuture.completedFuture(handleExchange(request)));
    }

    /**
     * Starts the periodic task and the immediate sending of crashes.
     *
     * @param scheduler runs them
     */
    public void start(ScheduledExecutorService scheduler) {
        periodic.start(scheduler);
        crashBatches.start(scheduler);
    }

    /** Sends the crashes that the neighbours do not know yet. */
    void sendCrashes() {
        List<Runnable> sends = new ArrayList<>();
        synchronized (lock) {
            for (DisseminationNeighbour neighbour : neighbours.values()) {
                InstanceId id = neighbour.id();
                DisseminationBatch batch =
                        DisseminationBatch.ofCrashes(
                                ownId,
                                tree.fingerprint(),
                                crashReports.encodeFor(id),
                                crashHistories.encodeFor(id));
                if (!batch.hasNoContent()) {
                    sends.add(() -> send(neighbour, batch));
                }
            }
        }
        sends.forEach(Runnable::run);
    }

    /**
     * Returns whether the other instances learn what this one is told: it is in the dissemination
     * tree, and a neighbour has responded to the last call, or there is no other instance.
     */
    public boolean isConnected() {
        synchronized (lock) {
            return isInTree()
                    && (neighbours.isEmpty()
                            || neighbours.values().stream().anyMatch(n -> n.responded));
        }
    }

    private boolean isInTree() {
        return ownId != null && tree.contains(ownId);
    }

    /**
     * Sends what this instance knows of an endpoint to its neighbours at once.
     *
     * @param id name of the endpoint
     * @return future with whether another instance has received it, or there is no other instance
     */
    CompletableFuture<Boolean> passOn(EndpointId id) {
        CompletableFuture<Boolean> received = new CompletableFuture<>();
        List<DisseminationNeighbour> targets;
        DisseminationBatch batch;
        synchronized (lock) {
            if (!isInTree() || neighbours.isEmpty()) {
                return CompletableFuture.completedFuture(isInTree());
            }
            batch =
                    DisseminationBatch.ofReports(
                            ownId, tree.fingerprint(), registry.encode(registry.fullReport(id)));
            targets = List.copyOf(neighbours.values());
        }
        List<CompletableFuture<Boolean>> sends =
                targets.stream()
                        .map(n -> send(n, batch).thenApply(ok -> ok && received.complete(true)))
                        .toList();
        CompletableFuture.allOf(sends.toArray(CompletableFuture[]::new))
                .thenRun(() -> received.complete(false));
        return received;
    }

    @Override
    public void close() {
        crashBatches.close();
        periodic.close();
    }

    /**
     * Runs {@link EndpointRegistry#tick()}, sends a batch to each neighbour, starts the exchanges
     * that are due, and publishes the sums of the other instances.
     */
    public void tick() {
        registry.tick();
        AccountUsageTable localUsage = sources.usage().get();
        // With many endpoints the changes would exceed the traffic budget.
        boolean disseminatesInFlight = registry.endpointCount() <= sources.maxInFlightEndpoints();
        Map<Integer, Integer> localInFlight =
                disseminatesInFlight ? registry.toHandles(sources.inFlight().get()) : Map.of();
        List<Runnable> sends = new ArrayList<>();
        synchronized (lock) {
            updateTree();
            long nowMs = clock.nowMs();
            for (DisseminationNeighbour neighbour : neighbours.values()) {
                boolean exchangeDue =
                        nowMs >= neighbour.nextExchangeMs && !neighbour.exchangeInFlight;
                DisseminationBatch batch =
                        nextBatch(neighbour, localUsage, localInFlight, exchangeDue, nowMs);
                if (!batch.hasNoContent()) {
                    sends.add(() -> send(neighbour, batch));
                }
                if (exchangeDue) {
                    neighbour.exchangeInFlight = true;
                    neighbour.nextExchangeMs = nowMs + ANTI_ENTROPY_INTERVAL_MS;
                    sends.add(() -> startExchange(neighbour));
                }
            }
            parts.usage().publish(usage.others());
            parts.retryBudgetUse().publish(retryBudgets.others());
            parts.rateLimits().publish(rateLimits.others());
            parts.versionCounts().publish(versionCounts.others());
            parts.inFlight()
                    .publish(
                            disseminatesInFlight && tree.contains(ownId)
                                    ? inFlight.others()
                                    : InFlightTable.UNKNOWN);
        }
        sends.forEach(Runnable::run);
    }

    /**
     * Recomputes the tree if the membership has changed. An exchange with a new neighbour is due at
     * once.
     */
    private void updateTree() {
        Set<InstanceInfo> members = Set.copyOf(control.read().instances().values());
        InstanceId id = self.read().map(InstanceRef::id).orElse(null);
        if (members.equals(treeMembers) && Objects.equals(id, ownId)) {
            return;
        }
        treeMembers = members;
        ownId = id;
        tree = new DisseminationTree(members, fanOut);
        Map<InstanceId, InstanceInfo> next =
                id == null
                        ? Map.of()
                        : tree.neighbours(id).stream()
                                .collect(Collectors.toMap(i -> i.ref().id(), i -> i));
        neighbours.values().removeIf(n -> !n.info.equals(next.get(n.id())));
        long nowMs = clock.nowMs();
        next.forEach(
                (n, info) ->
                        neighbours.computeIfAbsent(
                                n, x -> new DisseminationNeighbour(info, nowMs)));
        if (isInTree()) {
            registry.recordJoined(!neighbours.isEmpty());
        }
        usage.retainNeighbours(neighbours.keySet());
        inFlight.retainNeighbours(neighbours.keySet());
        retryBudgets.retainNeighbours(neighbours.keySet());
        rateLimits.retainNeighbours(neighbours.keySet());
        versionCounts.retainNeighbours(neighbours.keySet());
        crashReports.sendAllNext();
        crashHistories.sendAllNext();
        LOG.debugf(
                "SAP3011 Dissemination tree has %d instances, neighbours of this one are %s",
                tree.size(), next.keySet());
    }

    private DisseminationBatch nextBatch(
            DisseminationNeighbour neighbour,
            AccountUsageTable localUsage,
            Map<Integer, Integer> localInFlight,
            boolean probe,
            long nowMs) {
        int maxEvents =
                registry.endpointCount() <= InFlightAggregator.MAX_ENDPOINTS
                        ? MAX_CACHE_EVENTS
                        : MAX_CACHE_EVENTS_LARGE_FLEET;
        List<EndpointReport> reports = neighbour.pending.takeAll(maxEvents, nowMs);
        return new DisseminationBatch(
                ownId,
                tree.fingerprint(),
                registry.encode(reports),
                usage.encodeFor(neighbour.id(), localUsage, sources.urgentAccount(), probe, nowMs),
                inFlight.encodeFor(neighbour.id(), localInFlight, probe),
                retryBudgets.encodeFor(
                        neighbour.id(), sources.retryBudgetUse().get().byHandle(), probe),
                crashReports.encodeFor(neighbour.id()),
                rateLimits.encodeFor(neighbour.id(), sources.rateLimits().get(), probe),
                crashHistories.encodeFor(neighbour.id()),
                versionCounts.encodeFor(neighbour.id(), sources.versionCounts().get(), probe));
    }

    /** Sends a batch; the future has whether the neighbour has received it, and never fails. */
    private CompletableFuture<Boolean> send(
            DisseminationNeighbour neighbour, DisseminationBatch batch) {
        return transport
                .call(neighbour.info.peerAddress(), batch, CALL_TIMEOUT_MS)
                .handle(
                        (ack, failure) -> {
                            recordOutcome(neighbour, failure == null);
                            if (failure != null) {
                                handleSendFailure(neighbour);
                                return false;
                            }
                            if (ack.x()) {
                                sendFullSumsNext(neighbour);
                            }
                            if (!ack.m().isEmpty()) {
                                enqueueTo(neighbour, registry.fullReports(ack.m()));
                            }
                            return true;
                        });
    }

    private void recordOutcome(DisseminationNeighbour neighbour, boolean responded) {
        synchronized (lock) {
            neighbour.responded = responded;
        }
    }

    /**
     * Makes an exchange due at once, because the neighbour may lack the details of a failed batch.
     */
    private void handleSendFailure(DisseminationNeighbour neighbour) {
        synchronized (lock) {
            neighbour.exchangeBy(clock.nowMs());
            sendFullSumsNext(neighbour);
        }
    }

    private void sendFullSumsNext(DisseminationNeighbour neighbour) {
        synchronized (lock) {
            usage.sendFullNext(neighbour.id());
            inFlight.sendFullNext(neighbour.id());
            retryBudgets.sendFullNext(neighbour.id());
            rateLimits.sendFullNext(neighbour.id());
            versionCounts.sendFullNext(neighbour.id());
            crashReports.sendAllNext(neighbour.id());
            crashHistories.sendAllNext(neighbour.id());
        }
    }

    private DisseminationBatch.Ack handleBatch(DisseminationBatch batch) {
        EndpointRegistry.BatchMergeResult merged = registry.mergeBatch(batch.r());
        enqueue(merged.newer(), batch.s());
        crashReports.receive(batch.q());
        crashHistories.receive(batch.h());
        boolean applied = false;
        synchronized (lock) {
            if (batch.t() == tree.fingerprint() && neighbours.containsKey(batch.s())) {
                applied =
                        usage.receive(batch.s(), batch.u())
                                & inFlight.receive(batch.s(), batch.f())
                                & retryBudgets.receive(batch.s(), batch.b())
                                & rateLimits.receive(batch.s(), batch.l())
                                & versionCounts.receive(batch.s(), batch.o());
            }
        }
        return new DisseminationBatch.Ack(merged.missing(), !applied);
    }

    /** Queues reports for all neighbours except the one that sent them; null excludes none. */
    private void enqueue(Collection<EndpointReport> reports, InstanceId sender) {
        if (reports.isEmpty()) {
            return;
        }
        synchronized (lock) {
            for (DisseminationNeighbour neighbour : neighbours.values()) {
                if (!neighbour.id().equals(sender)) {
                    neighbour.queue(reports, clock.nowMs());
                }
            }
        }
    }

    private void enqueueTo(DisseminationNeighbour neighbour, Collection<EndpointReport> reports) {
        synchronized (lock) {
            neighbour.queue(reports, clock.nowMs());
        }
    }

    private void startExchange(DisseminationNeighbour neighbour) {
        exchange(neighbour, new AntiEntropyRequest(ownId, registry.digest(), Map.of(), false))
                .thenCompose(
                        reply ->
                                reply.equal()
                                        ? CompletableFuture.completedFuture(reply)
                                        : exchange(
                                                neighbour,
                                                new AntiEntropyRequest(
                                                        ownId,
                                                        registry.digest(),
                                                        registry.digestEntries(),
                                                        true)))
                .whenComplete((reply, failure) -> endExchange(neighbour, reply, failure));
    }

    private CompletableFuture<AntiEntropyRequest.AntiEntropyReply> exchange(
            DisseminationNeighbour neighbour, AntiEntropyRequest request) {
        return transport.call(neighbour.info.peerAddress(), request, CALL_TIMEOUT_MS);
    }

    private void endExchange(
            DisseminationNeighbour neighbour,
            AntiEntropyRequest.AntiEntropyReply reply,
            Throwable failure) {
        recordOutcome(neighbour, failure == null);
        synchronized (lock) {
            neighbour.exchangeInFlight = false;
            if (failure != null) {
                // Retries soon, because after a failed exchange the neighbour may lack details.
                neighbour.exchangeBy(clock.nowMs() + CALL_TIMEOUT_MS);
                return;
            }
        }
        enqueue(registry.mergeBatch(reply.reports()).newer(), neighbour.id());
        registry.endHold();
        enqueueTo(neighbour, registry.fullReports(reply.wanted()));
    }

    private AntiEntropyRequest.AntiEntropyReply handleExchange(AntiEntropyRequest request) {
        if (request.digest() == registry.digest()) {
            return new AntiEntropyRequest.AntiEntropyReply(true, new byte[0], List.of());
        }
        if (!request.complete()) {
            return new AntiEntropyRequest.AntiEntropyReply(false, new byte[0], List.of());
        }
        Map<Integer, Long> ownEntries = registry.digestEntries();
        List<Integer> missingAtSender = new ArrayList<>();
        ownEntries.forEach(
                (handle, sequence) -> {
                    if (ReportTable.isBehind(request.entries().get(handle), sequence)) {
                        missingAtSender.add(handle);
                    }
                });
        List<Integer> wanted = new ArrayList<>();
        request.entries()
                .forEach(
                        (handle, sequence) -> {
                            if (ReportTable.isBehind(ownEntries.get(handle), sequence)) {
                                wanted.add(handle);
                            }
                        });
        return new AntiEntropyRequest.AntiEntropyReply(
                false, registry.encode(registry.fullReports(missingAtSender)), wanted);
    }
}

package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.limit.RetryUsageTable;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.membership.InFlightAggregator;
import io.sapphirestack.core.quarantine.CrashEvidence;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.PrefixIndex;
import io.sapphirestack.core.trust.KeyHash;
import io.sapphirestack.core.version.VersionCounts;
import io.sapphirestack.runtime.transport.PeerHandler;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Fleet whose instances have the real registry and dissemination service, in one process with a
 * simulated network. The base of tests.
 */
abstract class AbstractDisseminationTests {
    static final String KEY = "secret";
    static final ServiceSpec SERVICE =
            new ServiceSpec(
                    ServiceType.ENGINE,
                    KeyHash.create(KEY, new byte[] {1, 2, 3}),
                    true,
                    false,
                    0,
                    1_000,
                    5_000,
                    ResumeSpec.DEFAULT,
                    ObjectivesSpec.DEFAULT);

    long nowMs = 1_000_000;
    Random random = new Random(1);
    final Map<String, Member> byAddress = new HashMap<>();
    final List<Member> members = new ArrayList<>();

    /** Calls on their way; a blocking announcement adds some while they are delivered. */
    final List<Runnable> network = Collections.synchronizedList(new ArrayList<>());

    /** Maximum number of endpoints for which the members disseminate requests in flight. */
    int maxInFlightEndpoints = InFlightAggregator.MAX_ENDPOINTS;

    /** Services that the configuration names, at all members. */
    Set<String> namedServices = Set.of("scribe");

    /** Percentage of calls that fail. */
    int failurePercent;

    /** Number of batches with reports sent over each directed edge. */
    final Map<String, Integer> sendsByEdge = new ConcurrentHashMap<>();

    /** Instance with the real registry and dissemination service and a simulated transport. */
    final class Member implements PeerTransport, PeerHandlerRegistry {
        final InstanceInfo info;
        final BlackboardPart<ControlView> control = new BlackboardPart<>(ControlView.EMPTY);
        final BlackboardPart<EndpointTable> table = new BlackboardPart<>(EndpointTable.EMPTY);
        final DisseminationBlackboardParts parts = DisseminationBlackboardParts.create();
        int inFlight;
        Map<Integer, Integer> rateLimits = Map.of();
        Map<Integer, VersionCounts> versionCounts = Map.of();
        final CrashEvidence crashes = CrashEvidence.empty(() -> nowMs);
        int generations = 1;
        RetryUsageTable retryBudgetUse = RetryUsageTable.EMPTY;
        final PrefixIndex prefixes = new PrefixIndex(64);
        final Map<Class<?>, PeerHandler<?, ?>> handlers = new HashMap<>();
        final EndpointRegistry registry;
        final DisseminationService dissemination;

        Member(int number) {
            info =
                    new InstanceInfo(
                            new InstanceRef(InstanceId.of("i" + number), 1),
                            "az" + number % 4,
                            "r1",
                            "p" + number,
                            "h" + number,
                            1);
            registry =
                    new EndpointRegistry(
                            table,
                            s -> s.equals("scribe") ? Optional.of(SERVICE) : Optional.empty(),
                            () -> namedServices,
                            prefixes,
                            () -> nowMs);
            dissemination =
                    new DisseminationService(
                            this,
                            control,
                            new BlackboardPart<>(Optional.of(info.ref())),
                            registry,
                            parts,
                            new DisseminationSources(
                                    this::localUsage,
                                    handle -> true,
                                    () -> Map.of(EndpointId.of("e1"), inFlight),
                                    () -> retryBudgetUse,
                                    crashes,
                                    () -> rateLimits,
                                    () -> versionCounts,
                                    maxInFlightEndpoints),
                            2,
                            () -> nowMs);
            dissemination.register(this);
        }

        AccountUsageTable localUsage() {
            return generations == 0
                    ? AccountUsageTable.EMPTY
                    : new AccountUsageTable(Map.of(7, new AccountUsage(generations, 0, 0)));
        }

        void setMembershipView(List<Member> live) {
            Map<InstanceId, InstanceInfo> instances = new HashMap<>();
            live.forEach(m -> instances.put(m.info.ref().id(), m.info));
            control.publish(new ControlView(1, Map.of(), instances, List.of()));
        }

        @Override
        public <Q extends PeerRequest<R>, R> void register(
                Class<Q> type, PeerHandler<Q, R> handler) {
            handlers.put(type, handler);
        }

        @Override
        public <R> CompletableFuture<R> call(
                String address, PeerRequest<R> request, long timeoutMs) {
            CompletableFuture<R> result = new CompletableFuture<>();
            boolean fails = random.nextInt(100) < failurePercent;
            countReportBatch(address, request);
            network.add(
                    () -> {
                        if (fails) {
                            result.completeExceptionally(
                                    new TransportException("call", address, "lost", true, null));
                        } else {
                            byAddress.get(address).serve(request).thenAccept(result::complete);
                        }
                    });
            return result;
        }

        void countReportBatch(String address, PeerRequest<?> request) {
            if (request instanceof DisseminationBatch batch && batch.r().length > 0) {
                sendsByEdge.merge(info.peerAddress() + ">" + address, 1, Integer::sum);
            }
        }

        @SuppressWarnings("unchecked")
        <R> CompletableFuture<R> serve(PeerRequest<R> request) {
            PeerHandler<PeerRequest<R>, R> handler =
                    (PeerHandler<PeerRequest<R>, R>) handlers.get(request.getClass());
            return handler.handle(request);
        }
    }

    void startMembers(int count) {
        nowMs = 1_000_000;
        byAddress.clear();
        members.clear();
        network.clear();
        sendsByEdge.clear();
        failurePercent = 0;
        for (int i = 0; i < count; i++) {
            Member member = new Member(i);
            members.add(member);
            byAddress.put(member.info.peerAddress(), member);
        }
        members.forEach(m -> m.setMembershipView(members));
    }

    /** Ticks every member, then delivers all messages in random order. */
    void runRound() {
        nowMs += DisseminationService.BATCH_INTERVAL_MS;
        members.forEach(m -> m.dissemination.tick());
        deliver();
    }

    /** Delivers all messages, in any order. */
    void deliver() {
        while (!network.isEmpty()) {
            network.remove(random.nextInt(network.size())).run();
        }
    }

    static EndpointAnnouncement announcement(
            String id, long epochMs, long sequence, String version, List<CacheEvent> events) {
        return new EndpointAnnouncement(
                EndpointId.of(id),
                "scribe",
                "127.0.0.1:1",
                "az1",
                epochMs,
                sequence,
                List.of(new ModelPin("m", "", version)),
                new EndpointLoad((int) sequence, 0, 8, 0),
                events,
                0,
                EndpointPhase.SERVING,
                "");
    }

    void announce(Member at, String id, long epochMs, long sequence, String version) {
        try {
            at.registry.receive(announcement(id, epochMs, sequence, version, List.of()), KEY);
        } catch (RefusedException e) {
            throw new AssertionError(e);
        }
    }
}

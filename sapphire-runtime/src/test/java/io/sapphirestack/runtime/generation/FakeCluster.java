package io.sapphirestack.runtime.generation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.quarantine.CrashHistoryTable;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ResumePolicy;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import io.sapphirestack.runtime.transport.PeerHandler;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerMessage;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Instances in one process, connected by a transport that serializes and deserializes each message
 * as on the wire, so that fields that are not serialized are noticed.
 */
final class FakeCluster implements Closeable {

    static final AccountId ACCOUNT = AccountId.of("acme");

    /** Shared by all instances, as if crashes were disseminated at once. */
    final CrashHistoryTable histories = new CrashHistoryTable(MillisClock.wall());

    /** One instance of the cluster. */
    final class FakeInstance {
        final InstanceRef ref;
        final Blackboard blackboard = Blackboard.create();
        final Map<Class<?>, PeerHandler<?, ?>> handlers = new HashMap<>();
        final DefaultGenerationService service;
        volatile boolean reachable = true;

        FakeInstance(String name) {
            ref = new InstanceRef(InstanceId.of(name), 1);
            blackboard.self().publish(Optional.of(ref));
            blackboard.configurationLease().publish(new ConfigurationLease(Long.MAX_VALUE));
            blackboard.readiness().publish(Readiness.READY);
            GenerationContext context =
                    new GenerationContext(
                            blackboard,
                            new Transport(this),
                            new Catalog(),
                            request -> chooseEndpoint(this, request.excluded()),
                            (endpoint, kind) -> {
                                if (!blackboard
                                        .configurationLease()
                                        .read()
                                        .isValidAt(clockMs.get())) {
                                    throw new RefusedException(
                                            Refusal.notExecuted(
                                                    503, "configuration_stale", "t", "t"));
                                }
                                return () -> {};
                            },
                            (account, accepted) -> () -> {},
                            (peer, unacknowledgedMs) -> reportedPeers.add(peer),
                            metrics,
                            RequestCrashMonitor.create(
                                    new RequestQuarantine(histories, MillisClock.wall(), 1),
                                    clockMs::get),
                            clockMs::get);
            service =
                    new DefaultGenerationService(
                            context,
                            GenerationLimits.DEFAULT,
                            executor,
                            scheduler,
                            new Random(name.hashCode()));
            service.registerHandlers(
                    new PeerHandlerRegistry() {
                        @Override
                        public <Q extends PeerRequest<R>, R> void register(
                                Class<Q> type, PeerHandler<Q, R> handler) {
                            handlers.put(type, handler);
                        }
                    });
        }
    }

    /** Counts attempts, re-attachments and recomputed tokens. */
    static final class CountingMetrics implements GenerationMetrics {
        final AtomicInteger attempts = new AtomicInteger();
        final AtomicInteger reattachments = new AtomicInteger();
        final AtomicLong recomputed = new AtomicLong();
        final AtomicInteger takeovers = new AtomicInteger();
        final AtomicInteger resumed = new AtomicInteger();

        @Override
        public void recordAttempt(AttemptReason reason) {
            attempts.incrementAndGet();
        }

        @Override
        public void recordReattachment(boolean afterTakeover) {
            reattachments.incrementAndGet();
        }

        @Override
        public void recordResume(long latencyMs) {
            resumed.incrementAndGet();
        }

        @Override
        public void recordRecomputedTokens(long tokens) {
            recomputed.addAndGet(tokens);
        }

        @Override
        public void recordCommittedTokens(long tokens) {}

        @Override
        public void recordTakeover() {
            takeovers.incrementAndGet();
        }
    }

    final CountingMetrics metrics = new CountingMetrics();
    final AtomicLong clockMs = new AtomicLong(1_000);
    final LinkedBlockingQueue<InstanceRef> reportedPeers = new LinkedBlockingQueue<>();
    final Map<String, FakeInstance> instances = new ConcurrentHashMap<>();
    volatile ResumePolicy policy = ResumePolicy.LATENCY;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    private final ObjectMapper messageMapper =
            new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());
    private final List<MembershipEvent> events = new ArrayList<>();
    private final Map<InstanceId, InstanceInfo> liveInstances = new HashMap<>();
    private long revision;

    FakeCluster(int instanceCount) {
        for (int i = 1; i <= instanceCount; i++) {
            FakeInstance instance = new FakeInstance("i" + i);
            instances.put("i" + i, instance);
            liveInstances.put(
                    instance.ref.id(),
                    new InstanceInfo(instance.ref, "az" + i, "r1", "i" + i, "http-i" + i, 1));
            events.add(new MembershipEvent.Joined(++revision, instance.ref, Optional.empty()));
        }
        publishControlView();
        instances.values().forEach(instance -> instance.service.start());
    }

    GenerationService service(String name) {
        return instances.get(name).service;
    }

    /** Publishes the endpoints to all instances. */
    void publishEndpoints(FakeEngine... engines) {
        Map<EndpointId, EndpointState> table = new HashMap<>();
        for (FakeEngine engine : engines) {
            table.put(engine.state().id(), engine.state());
        }
        instances
                .values()
                .forEach(
                        instance ->
                                instance.blackboard.endpoints().publish(new EndpointTable(table)));
    }

    /** Stops an instance and makes it unreachable without evicting it. */
    void kill(String name) {
        instances.get(name).reachable = false;
        instances.get(name).service.stop();
    }

    /** Evicts an instance and publishes the event to the reachable instances. */
    void evict(String name) {
        InstanceRef ref = instances.get(name).ref;
        liveInstances.remove(ref.id());
        events.add(new MembershipEvent.Evicted(++revision, List.of(ref), "test"));
        publishControlView();
    }

    private void publishControlView() {
        ControlView view = new ControlView(revision, Map.of(), liveInstances, events);
        instances.values().stream()
                .filter(instance -> instance.reachable)
                .forEach(instance -> instance.blackboard.control().publish(view));
    }

    private static Optional<EndpointState> chooseEndpoint(
            FakeInstance instance, Set<EndpointId> excluded) {
        return instance.blackboard.endpoints().read().ofService("scribe").stream()
                .filter(endpoint -> !excluded.contains(endpoint.id()))
                .findFirst();
    }

    @Override
    public void close() {
        instances.values().forEach(instance -> instance.service.stop());
        scheduler.shutdownNow();
        executor.shutdownNow();
    }

    private final class Catalog implements GenerationCatalog {
        @Override
        public Optional<ModelSpec> findModel(String name) {
            return name.equals("m1")
                    ? Optional.of(new ModelSpec("scribe", FakeEngine.PIN, 0, 0))
                    : Optional.empty();
        }

        @Override
        public ResumeSpec resumeSpec(String service) {
            return new ResumeSpec(policy, 600, 300, 3_500, 10_000);
        }

        @Override
        public int priority(AccountId account) {
            return 5;
        }
    }

    private final class Transport implements PeerTransport {
        private final FakeInstance from;

        private Transport(FakeInstance from) {
            this.from = from;
        }

        @Override
        public <R> CompletableFuture<R> call(
                String address, PeerRequest<R> request, long timeoutMs) {
            FakeInstance to = instances.get(address);
            if (!from.reachable || !to.reachable) {
                return CompletableFuture.failedFuture(
                        new TransportException("connect", address, "down", false, null));
            }
            return CompletableFuture.supplyAsync(() -> dispatch(to, request), executor)
                    .thenCompose(reply -> reply);
        }

        @SuppressWarnings("unchecked")
        private <R> CompletableFuture<R> dispatch(FakeInstance to, PeerRequest<R> request) {
            Class<?> type = request.getClass();
            Class<R> replyType = (Class<R>) type.getAnnotation(PeerMessage.class).reply();
            PeerHandler<PeerRequest<R>, R> handler =
                    (PeerHandler<PeerRequest<R>, R>) to.handlers.get(type);
            PeerRequest<R> received = (PeerRequest<R>) serializeAndParse(request, type);
            return handler.handle(received).thenApply(reply -> serializeAndParse(reply, replyType));
        }

        private <T> T serializeAndParse(Object value, Class<T> type) {
            try {
                return messageMapper.readValue(messageMapper.writeValueAsBytes(value), type);
            } catch (IOException e) {
                throw new IllegalStateException("message cannot be serialized and parsed", e);
            }
        }
    }
}

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
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ResumePolicy;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.runtime.blackboard.Blackboard;
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

/** Instances in one process, joined by a transport that encodes messages as on the wire. */
final class FakeCluster implements Closeable {

    static final AccountId ACCOUNT = AccountId.of("acme");

    /** One instance. */
    final class Member {
        final InstanceRef ref;
        final Blackboard blackboard = Blackboard.create();
        final Map<Class<?>, PeerHandler<?, ?>> handlers = new HashMap<>();
        final DefaultGenerationService service;
        volatile boolean reachable = true;

        Member(String name) {
            ref = new InstanceRef(InstanceId.of(name), 1);
            blackboard.self().publish(Optional.of(ref));
            blackboard.configurationLease().publish(new ConfigurationLease(Long.MAX_VALUE));
            blackboard.readiness().publish(Readiness.READY);
            GenerationContext context =
                    new GenerationContext(
                            blackboard,
                            new Transport(this),
                            new Catalog(),
                            request -> choose(this, request.excluded()),
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
                            (peer, silentMs) -> reports.add(peer),
                            metrics,
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
    final LinkedBlockingQueue<InstanceRef> reports = new LinkedBlockingQueue<>();
    final Map<String, Member> members = new ConcurrentHashMap<>();
    volatile ResumePolicy policy = ResumePolicy.LATENCY;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    private final ObjectMapper wire =
            new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());
    private final List<MembershipEvent> events = new ArrayList<>();
    private final Map<InstanceId, InstanceInfo> live = new HashMap<>();
    private long revision;

    FakeCluster(int instances) {
        for (int i = 1; i <= instances; i++) {
            Member member = new Member("i" + i);
            members.put("i" + i, member);
            live.put(
                    member.ref.id(),
                    new InstanceInfo(member.ref, "az" + i, "r1", "i" + i, "http-i" + i, 1));
            events.add(new MembershipEvent.Joined(++revision, member.ref, Optional.empty()));
        }
        publish();
        members.values().forEach(member -> member.service.start());
    }

    GenerationService service(String name) {
        return members.get(name).service;
    }

    /** Publishes the endpoints to all instances. */
    void endpoints(FakeEngine... engines) {
        Map<EndpointId, EndpointState> table = new HashMap<>();
        for (FakeEngine engine : engines) {
            table.put(engine.state().id(), engine.state());
        }
        members.values()
                .forEach(member -> member.blackboard.endpoints().publish(new EndpointTable(table)));
    }

    /** Stops an instance without notice. */
    void kill(String name) {
        members.get(name).reachable = false;
        members.get(name).service.stop();
    }

    /** Evicts an instance in the control log. */
    void evict(String name) {
        InstanceRef ref = members.get(name).ref;
        live.remove(ref.id());
        events.add(new MembershipEvent.Evicted(++revision, List.of(ref), "test"));
        publish();
    }

    private void publish() {
        ControlView view = new ControlView(revision, Map.of(), live, events);
        members.values().stream()
                .filter(member -> member.reachable)
                .forEach(member -> member.blackboard.control().publish(view));
    }

    private static Optional<EndpointState> choose(Member member, Set<EndpointId> excluded) {
        return member.blackboard.endpoints().read().ofService("scribe").stream()
                .filter(endpoint -> !excluded.contains(endpoint.id()))
                .findFirst();
    }

    @Override
    public void close() {
        members.values().forEach(member -> member.service.stop());
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
        private final Member from;

        private Transport(Member from) {
            this.from = from;
        }

        @Override
        public <R> CompletableFuture<R> call(
                String address, PeerRequest<R> request, long timeoutMs) {
            Member to = members.get(address);
            if (!from.reachable || !to.reachable) {
                return CompletableFuture.failedFuture(
                        new TransportException("connect", address, "down", false, null));
            }
            return CompletableFuture.supplyAsync(() -> dispatch(to, request), executor)
                    .thenCompose(reply -> reply);
        }

        @SuppressWarnings("unchecked")
        private <R> CompletableFuture<R> dispatch(Member to, PeerRequest<R> request) {
            Class<?> type = request.getClass();
            Class<R> replyType = (Class<R>) type.getAnnotation(PeerMessage.class).reply();
            PeerHandler<PeerRequest<R>, R> handler =
                    (PeerHandler<PeerRequest<R>, R>) to.handlers.get(type);
            PeerRequest<R> received = (PeerRequest<R>) copy(request, type);
            return handler.handle(received).thenApply(reply -> copy(reply, replyType));
        }

        private <T> T copy(Object value, Class<T> type) {
            try {
                return wire.readValue(wire.writeValueAsBytes(value), type);
            } catch (IOException e) {
                throw new IllegalStateException("message does not survive the wire", e);
            }
        }
    }
}

package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.AccountUsageTable;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.membership.InFlightTable;
import io.sapphirestack.core.quarantine.CrashEvidence;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.ExpectedCostRoutingStrategy;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.routing.LoadEstimator;
import io.sapphirestack.core.routing.PrefixHashes;
import io.sapphirestack.core.routing.PrefixIndex;
import io.sapphirestack.core.routing.RoutingParameters;
import io.sapphirestack.core.routing.RoutingRequest;
import io.sapphirestack.core.routing.WorkKind;
import io.sapphirestack.core.trust.KeyHash;
import io.sapphirestack.runtime.transport.PeerHandler;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Measures how the cost of routing and dissemination grows with the number of endpoints and
 * instances. All instances run in one process with a fixed seed, real registries, dissemination
 * services and MessagePack bodies, and a transport that counts bytes. Takes several minutes:
 *
 * <pre>
 * mvn -B -ntp -q test-compile dependency:build-classpath -pl sapphire-core,sapphire-runtime -am \
 *     -Dmdep.outputFile=/tmp/rt.cp -Dmdep.includeScope=test
 * java -Xmx3g -cp sapphire-runtime/target/test-classes:sapphire-runtime/target/classes:\
 * sapphire-core/target/classes:$(cat /tmp/rt.cp) io.sapphirestack.runtime.endpoint.CapacitySlopes
 * </pre>
 */
final class CapacitySlopes {
    private static final String KEY = "secret";
    private static final ServiceSpec SERVICE =
            new ServiceSpec(
                    ServiceType.ENGINE,
                    KeyHash.create(KEY, new byte[] {1}),
                    true,
                    false,
                    0,
                    1_000,
                    5_000,
                    ResumeSpec.DEFAULT,
                    ObjectivesSpec.DEFAULT);
    private static final ModelPin PIN = new ModelPin("base", "", "1");

    /** Size of the frame length, array header, kind, request id and type code. */
    private static final int FRAME_BYTES = 4 + 1 + 1 + 5 + 1;

    private static final int ROUNDS_PER_S = 10;
    private static final int WARM_UP_ROUNDS = 45;

    private final ObjectMapper mapper =
            new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());
    private final Random random = new Random(1);
    private final Map<String, Member> byAddress = new HashMap<>();
    private final List<Member> members = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();
    private long nowMs = 1_000_000;

    private final class Member implements PeerTransport, PeerHandlerRegistry {
        private final InstanceInfo info;
        private final Map<Class<?>, PeerHandler<?, ?>> handlers = new HashMap<>();
        private final BlackboardPart<ControlView> control = new BlackboardPart<>(ControlView.EMPTY);
        private final PrefixIndex prefixes = new PrefixIndex(8);
        private final EndpointRegistry registry;
        private final DisseminationService dissemination;
        private final Map<Integer, Integer> generations = new HashMap<>();
        private final Map<EndpointId, Integer> inFlight = new HashMap<>();
        private long bytes;

        Member(int number) {
            info =
                    new InstanceInfo(
                            new InstanceRef(InstanceId.of("i" + number), 1),
                            "az" + number % 4,
                            "r1",
                            "10.0.0." + number + ":7100",
                            "h" + number,
                            1);
            registry =
                    new EndpointRegistry(
                            new BlackboardPart<>(EndpointTable.EMPTY),
                            s -> Optional.of(SERVICE),
                            () -> Set.of("scribe"),
                            prefixes,
                            () -> nowMs);
            dissemination =
                    new DisseminationService(
                            this,
                            control,
                            new BlackboardPart<>(Optional.of(info.ref())),
                            registry,
                            DisseminationBlackboardParts.create(),
                            new DisseminationSources(
                                    this::usage,
                                    handle -> false,
                                    () -> inFlight,
                                    CrashEvidence.empty(() -> nowMs)),
                            2,
                            () -> nowMs);
            dissemination.register(this);
        }

        private AccountUsageTable usage() {
            Map<Integer, AccountUsage> table = new HashMap<>();
            generations.forEach(
                    (handle, n) -> table.put(handle, new AccountUsage(n, n * 0.5, n * 0.5)));
            return new AccountUsageTable(table);
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
            byte[] body = write(request);
            Member peer = byAddress.get(address);
            bytes += FRAME_BYTES + body.length;
            peer.bytes += FRAME_BYTES + body.length;
            network.add(() -> peer.serve(body, request, this).thenAccept(result::complete));
            return result;
        }

        @SuppressWarnings("unchecked")
        private <R> CompletableFuture<R> serve(byte[] body, PeerRequest<R> type, Member from) {
            PeerHandler<PeerRequest<R>, R> handler =
                    (PeerHandler<PeerRequest<R>, R>) handlers.get(type.getClass());
            PeerRequest<R> request = (PeerRequest<R>) read(body, type.getClass());
            return handler.handle(request)
                    .thenApply(
                            reply -> {
                                byte[] replyBody = write(reply);
                                bytes += FRAME_BYTES + replyBody.length;
                                from.bytes += FRAME_BYTES + replyBody.length;
                                return (R) read(replyBody, reply.getClass());
                            });
        }
    }

    private byte[] write(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private <T> T read(byte[] bytes, Class<T> type) {
        try {
            return mapper.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void measureDissemination(
            int instances, int endpoints, int accounts, int eventsPerS, int rounds)
            throws Exception {
        Map<InstanceId, InstanceInfo> live = new HashMap<>();
        for (int i = 0; i < instances; i++) {
            Member member = new Member(i);
            members.add(member);
            byAddress.put(member.info.peerAddress(), member);
            live.put(member.info.ref().id(), member.info);
        }
        members.forEach(m -> m.control.publish(new ControlView(1, Map.of(), live, List.of())));
        long cpuNs = 0;
        for (int round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
            if (round == WARM_UP_ROUNDS) {
                members.forEach(m -> m.bytes = 0);
                cpuNs = cpuTimeNs();
            }
            nowMs += DisseminationService.BATCH_INTERVAL_MS;
            changeInFlight(endpoints, accounts);
            for (int e = round % ROUNDS_PER_S; e < endpoints; e += ROUNDS_PER_S) {
                announce(e, round, eventsPerS);
            }
            members.forEach(m -> m.dissemination.tick());
            while (!network.isEmpty()) {
                List<Runnable> batch = new ArrayList<>(network);
                network.clear();
                batch.forEach(Runnable::run);
            }
        }
        cpuNs = cpuTimeNs() - cpuNs;
        double seconds = (double) rounds / ROUNDS_PER_S;
        double max = members.stream().mapToLong(m -> m.bytes).max().orElse(0) / seconds / 1_000;
        double mean =
                members.stream().mapToLong(m -> m.bytes).average().orElse(0) / seconds / 1_000;
        System.out.printf(
                "%9d | %9d | %8d | %6d | %8.1f | %8.1f | %8.2f%n",
                instances,
                endpoints,
                accounts,
                eventsPerS,
                max,
                mean,
                cpuNs / 1e9 / seconds / instances * 100);
    }

    private static long cpuTimeNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Begins and ends about 2.5 requests per second and endpoint, at random instances. */
    private void changeInFlight(int endpoints, int accounts) {
        for (int i = 0; i < endpoints * 5 / ROUNDS_PER_S; i++) {
            Member member = members.get(random.nextInt(members.size()));
            int change = random.nextBoolean() ? 1 : -1;
            int handle = AccountUsageTable.handleOf(AccountId.of("a" + random.nextInt(accounts)));
            member.generations.merge(handle, 1, (a, b) -> Math.max(0, a + change));
            EndpointId id = EndpointId.of("e" + random.nextInt(endpoints));
            member.inFlight.merge(id, 1, (a, b) -> Math.max(0, a + change));
        }
    }

    private void announce(int endpoint, int round, int eventsPerS) throws Exception {
        List<CacheEvent> events = new ArrayList<>();
        for (int i = 0; i < eventsPerS; i++) {
            events.add(CacheEvent.of(random.nextLong(), true));
        }
        members.get(endpoint % members.size())
                .registry
                .receive(
                        new EndpointAnnouncement(
                                EndpointId.of("e" + endpoint),
                                "scribe",
                                "10.1.0.1:9000",
                                "az" + endpoint % 4,
                                1_700_000_000_000L,
                                80_000 + round,
                                List.of(PIN),
                                new EndpointLoad(random.nextInt(9), 0, 8, 300),
                                events,
                                17,
                                EndpointPhase.SERVING,
                                ""),
                        KEY);
    }

    /** Measures the time per routing decision and the memory of table and index. */
    private void measureRouting(int endpoints) throws Exception {
        long before = usedBytes();
        BlackboardPart<EndpointTable> table = new BlackboardPart<>(EndpointTable.EMPTY);
        PrefixIndex index = new PrefixIndex();
        EndpointRegistry registry =
                new EndpointRegistry(
                        table,
                        s -> Optional.of(SERVICE),
                        () -> Set.of("scribe"),
                        index,
                        () -> nowMs);
        PrefixHashes[] prompts = new PrefixHashes[50];
        for (int i = 0; i < prompts.length; i++) {
            prompts[i] =
                    PrefixHashes.of((i + ";").repeat(40 * 1_024 / (i + ";").length()) + "....");
        }
        for (int e = 0; e < endpoints; e++) {
            EndpointId id = EndpointId.of("e" + e);
            registry.receive(
                    new EndpointAnnouncement(
                            id,
                            "scribe",
                            "10.1.0.1:9000",
                            "az" + e % 4,
                            1,
                            1,
                            List.of(PIN),
                            new EndpointLoad(random.nextInt(9), 0, 8, 300),
                            List.of(),
                            0,
                            EndpointPhase.SERVING,
                            ""),
                    KEY);
            for (int i = 0; i < 8; i++) {
                index.recordPlacement(id, 1, prompts[random.nextInt(prompts.length)]);
            }
        }
        long memory = usedBytes() - before;
        InFlightTracker tracker = new InFlightTracker(() -> nowMs);
        ExpectedCostRoutingStrategy strategy =
                new ExpectedCostRoutingStrategy(
                        table::read,
                        index,
                        new LoadEstimator(
                                tracker, () -> InFlightTable.UNKNOWN, () -> 10, () -> nowMs),
                        id -> false,
                        "az1",
                        RoutingParameters.DEFAULT,
                        random::nextInt,
                        () -> nowMs);
        int calls = 20_000;
        long startNs = 0;
        for (int i = -calls; i < calls; i++) {
            if (i == 0) {
                startNs = cpuTimeNs();
            }
            strategy.choose(
                    new RoutingRequest(
                            WorkKind.GENERATION,
                            "scribe",
                            AccountId.of("a"),
                            Optional.of(PIN),
                            prompts[random.nextInt(prompts.length)],
                            Set.of()));
        }
        double perCallUs = (cpuTimeNs() - startNs) / 1e3 / calls;
        System.out.printf("%9d | %10.1f | %10.1f%n", endpoints, perCallUs, memory / 1e6);
        java.lang.ref.Reference.reachabilityFence(registry);
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /**
     * Prints the measurements as tables.
     *
     * @param args unused
     * @throws Exception if a registry refuses an announcement
     */
    public static void main(String[] args) throws Exception {
        java.util.logging.LogManager.getLogManager().reset();
        System.out.println("endpoints | us/choice  | MB (table and index)");
        for (int endpoints : new int[] {25, 25, 150, 300, 600}) {
            new CapacitySlopes().measureRouting(endpoints);
        }
        System.out.println(
                "instances | endpoints | accounts | events | max KB/s | mean     | % of a core");
        for (int instances : new int[] {10, 50, 100, 200, 400}) {
            new CapacitySlopes().measureDissemination(instances, 600, 1, 0, 20);
        }
        new CapacitySlopes().measureDissemination(10, 600, 760, 0, 320);
        new CapacitySlopes().measureDissemination(50, 600, 1, 2, 20);
        new CapacitySlopes().measureDissemination(10, 25, 10, 0, 100);
        new CapacitySlopes().measureDissemination(10, 25, 10, 20, 100);
    }
}

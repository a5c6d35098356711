package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.RepeatTable;
import io.sapphirestack.core.limit.RepeatUse;
import io.sapphirestack.core.limit.UsageTable;
import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.membership.InFlightAggregator;
import io.sapphirestack.core.membership.ReportTable;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.PrefixHashes;
import io.sapphirestack.core.routing.PrefixIndex;
import io.sapphirestack.core.trust.KeyHash;
import io.sapphirestack.runtime.transport.PeerHandler;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import io.sapphirestack.runtime.transport.PeerRequest;
import io.sapphirestack.runtime.transport.PeerTransport;
import io.sapphirestack.runtime.transport.TransportException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against reports that miss an instance, cross an edge twice or bring old state back. */
class SpreadServiceTests {
    private static final String KEY = "secret";
    private static final ServiceSpec SERVICE =
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

    private long nowMs = 1_000_000;
    private Random random = new Random(1);
    private final Map<String, Member> byAddress = new HashMap<>();
    private final List<Member> members = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();

    /** Most endpoints for which the members disseminate work. */
    private int workLimitEndpoints = InFlightAggregator.MAX_ENDPOINTS;

    /** Share of calls that are lost, in percent. */
    private int lossPercent;

    /** Number of times that each report was sent over each directed edge. */
    private final Map<String, Integer> crossings = new HashMap<>();

    /** One instance with the real registry and spread service and a fake transport. */
    private final class Member implements PeerTransport, PeerHandlerRegistry {
        private final InstanceInfo info;
        private final BlackboardPart<ControlView> control = new BlackboardPart<>(ControlView.EMPTY);
        private final BlackboardPart<EndpointTable> table =
                new BlackboardPart<>(EndpointTable.EMPTY);
        private final SpreadParts parts = SpreadParts.create();
        private int work;
        private int generations = 1;
        private RepeatTable repeats = RepeatTable.EMPTY;
        private final PrefixIndex prefixes = new PrefixIndex(64);
        private final Map<Class<?>, PeerHandler<?, ?>> handlers = new HashMap<>();
        private final EndpointRegistry registry;
        private final SpreadService spread;

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
                            prefixes,
                            () -> nowMs);
            spread =
                    new SpreadService(
                            this,
                            control,
                            new BlackboardPart<>(Optional.of(info.ref())),
                            registry,
                            parts,
                            new SpreadSources(
                                    this::localUsage,
                                    handle -> true,
                                    () -> Map.of(EndpointId.of("e1"), work),
                                    () -> repeats,
                                    workLimitEndpoints),
                            2,
                            () -> nowMs);
            spread.register(this);
        }

        private UsageTable localUsage() {
            return generations == 0
                    ? UsageTable.EMPTY
                    : new UsageTable(Map.of(7, new AccountUsage(generations, 0, 0)));
        }

        void see(List<Member> live) {
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
            boolean lost = random.nextInt(100) < lossPercent;
            count(address, request);
            network.add(
                    () -> {
                        if (lost) {
                            result.completeExceptionally(
                                    new TransportException("call", address, "lost", true, null));
                        } else {
                            byAddress.get(address).serve(request).thenAccept(result::complete);
                        }
                    });
            return result;
        }

        private void count(String address, PeerRequest<?> request) {
            if (request instanceof SpreadBatch batch && batch.r().length > 0) {
                crossings.merge(info.peerAddress() + ">" + address, 1, Integer::sum);
            }
        }

        @SuppressWarnings("unchecked")
        private <R> CompletableFuture<R> serve(PeerRequest<R> request) {
            PeerHandler<PeerRequest<R>, R> handler =
                    (PeerHandler<PeerRequest<R>, R>) handlers.get(request.getClass());
            return handler.handle(request);
        }
    }

    private void start(int count) {
        nowMs = 1_000_000;
        byAddress.clear();
        members.clear();
        network.clear();
        crossings.clear();
        lossPercent = 0;
        for (int i = 0; i < count; i++) {
            Member member = new Member(i);
            members.add(member);
            byAddress.put(member.info.peerAddress(), member);
        }
        members.forEach(m -> m.see(members));
    }

    /** Lets everybody send, then delivers all messages in random order. */
    private void round() {
        nowMs += SpreadService.BATCH_MS;
        members.forEach(m -> m.spread.tick());
        while (!network.isEmpty()) {
            network.remove(random.nextInt(network.size())).run();
        }
    }

    private static EndpointAnnouncement announcement(
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
                EndpointPhase.SERVING);
    }

    private void announce(Member at, String id, long epochMs, long sequence, String version) {
        try {
            at.registry.receive(announcement(id, epochMs, sequence, version, List.of()), KEY);
        } catch (RefusedException e) {
            throw new AssertionError(e);
        }
    }

    @Property(seed = "2711", tries = 40)
    void eachReportCrossesEachEdgeOnceAndReachesEveryInstance(
            @ForAll @IntRange(min = 1, max = 30) int count, @ForAll long seed) {
        random = new Random(seed);
        start(count);
        // The first rounds hold the exchanges that follow a change of the tree.
        round();
        round();
        for (int sequence = 1; sequence <= 3; sequence++) {
            crossings.clear();
            announce(members.get(random.nextInt(count)), "e1", 1, sequence, "v" + sequence / 3);
            for (int i = 0; i < 12; i++) {
                round();
            }
            assertThat(crossings).hasSize(count - 1);
            assertThat(crossings.values()).allMatch(n -> n == 1);
            for (Member member : members) {
                EndpointState state = member.table.read().find(EndpointId.of("e1")).orElseThrow();
                assertThat(state.load().running()).isEqualTo(sequence);
                assertThat(state.models())
                        .containsExactly(new ModelPin("m", "", "v" + sequence / 3));
            }
        }
        int sum = 0;
        for (Member member : members) {
            member.work = random.nextInt(5);
            sum += member.work;
            member.repeats =
                    RepeatTable.ofServices(
                            Map.of("scribe", new RepeatUse(1, 20 * member.work, member.work)));
        }
        for (int i = 0; i < 30; i++) {
            round();
        }
        for (Member member : members) {
            assertThat(member.parts.inFlight().read().of(EndpointId.of("e1"), 1) + member.work)
                    .isEqualTo(sum);
            assertThat(member.parts.usage().read().byHandle().getOrDefault(7, AccountUsage.NONE))
                    .isEqualTo(new AccountUsage(count - 1, 0, 0));
            int others = sum - member.work;
            assertThat(member.parts.repeats().read().of("scribe").orElse(RepeatUse.NONE))
                    .isEqualTo(new RepeatUse(count - 1, 20 * others, others));
            assertThat(member.parts.repeats().read().of("ledger")).isEmpty();
        }
    }

    @Example
    void workAtManyEndpointsIsKnownToInstancesThatHaveNoReportsOfLoad() {
        workLimitEndpoints = 400;
        start(3);
        round();
        round();
        for (int i = 1; i <= 150; i++) {
            announce(members.get(i % 3), "e" + i, 1, 1, "v1");
        }
        members.forEach(member -> member.work = 5);
        for (int i = 0; i < 10; i++) {
            round();
        }
        for (Member member : members) {
            assertThat(member.parts.inFlight().read().of(EndpointId.of("e1"), 1)).isEqualTo(10);
        }
    }

    /**
     * Announcements, lost calls, differing membership views and restarts in random order. After the
     * faults end, all instances must know the newest announcement of each endpoint.
     */
    @Property(seed = "2712", tries = 40)
    void antiEntropyRepairsWhatWasLostWhileViewsDiffered(
            @ForAll @IntRange(min = 2, max = 15) int count, @ForAll long seed) {
        random = new Random(seed);
        start(count);
        Map<String, EndpointAnnouncement> newest = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            lossPercent = random.nextInt(60);
            Member member = members.get(random.nextInt(count));
            if (random.nextInt(3) == 0) {
                List<Member> view = new ArrayList<>(members);
                view.removeIf(m -> m != member && random.nextInt(4) == 0);
                member.see(view);
            }
            member.generations = random.nextInt(3);
            String id = "e" + random.nextInt(4);
            EndpointAnnouncement last = newest.get(id);
            long epoch = last == null ? 1 : last.epochMs();
            long sequence = last == null ? 1 : last.sequence() + 1;
            if (random.nextInt(8) == 0) {
                epoch++;
                sequence = 1;
            }
            String version = random.nextInt(3) == 0 || last == null ? "v" + step : version(last);
            announce(member, id, epoch, sequence, version);
            newest.put(id, announcement(id, epoch, sequence, version, List.of()));
            round();
        }
        lossPercent = 0;
        members.forEach(m -> m.see(members));
        // Exchanges repair lives and details. A load that was queued for a former neighbour is only
        // renewed by the next announcement, so the last ones are made in the final tree.
        round();
        newest.replaceAll(
                (id, a) -> announcement(id, a.epochMs(), a.sequence() + 1, version(a), List.of()));
        newest.forEach(
                (id, a) -> announce(members.get(0), id, a.epochMs(), a.sequence(), version(a)));
        for (int i = 0; i < 40; i++) {
            round();
        }
        for (Member member : members) {
            newest.forEach(
                    (id, a) -> {
                        EndpointState state =
                                member.table.read().find(EndpointId.of(id)).orElseThrow();
                        assertThat(state.epochMs()).isEqualTo(a.epochMs());
                        assertThat(state.load().running()).isEqualTo((int) a.sequence());
                        assertThat(state.models()).containsExactlyElementsOf(a.models());
                    });
        }
        assertUsageIsKnownWithinOneExchangePeriod();
    }

    private void assertUsageIsKnownWithinOneExchangePeriod() {
        // Losses in an unchanged tree, because a change of the tree makes all send everything.
        for (int i = 0; i < 20; i++) {
            lossPercent = random.nextInt(60);
            members.get(random.nextInt(members.size())).generations = random.nextInt(3);
            round();
        }
        lossPercent = 0;
        for (long t = 0; t <= SpreadService.EXCHANGE_MS + 2_000; t += SpreadService.BATCH_MS) {
            round();
        }
        int sum = members.stream().mapToInt(m -> m.generations).sum();
        for (Member member : members) {
            AccountUsage others =
                    member.parts.usage().read().byHandle().getOrDefault(7, AccountUsage.NONE);
            assertThat(others.concurrent() + member.generations).isEqualTo(sum);
        }
    }

    private static String version(EndpointAnnouncement announcement) {
        return announcement.models().get(0).version();
    }

    @Test
    void lateAnnouncementsNeverBringOldStateBack() {
        start(3);
        announce(members.get(0), "e1", 2, 9, "new");
        round();
        round();
        announce(members.get(1), "e1", 2, 8, "old");
        announce(members.get(2), "e1", 1, 99, "older");
        for (int i = 0; i < 5; i++) {
            round();
        }
        for (Member member : members) {
            EndpointState state = member.table.read().find(EndpointId.of("e1")).orElseThrow();
            assertThat(state.models()).containsExactly(new ModelPin("m", "", "new"));
            assertThat(state.load().running()).isEqualTo(9);
        }
    }

    @Test
    void silentEndpointIsRemovedEverywhereAndStaysRemoved() {
        start(4);
        announce(members.get(0), "e1", 1, 1, "v");
        for (int i = 0; i < 5; i++) {
            round();
        }
        nowMs += ReportTable.REMOVE_AFTER_MS;
        for (int i = 0; i < 150; i++) {
            round();
        }
        members.forEach(m -> assertThat(m.table.read().byId()).isEmpty());
    }

    @Test
    void cacheEventsReachThePrefixIndexOfOtherInstances() throws RefusedException {
        start(4);
        round();
        PrefixHashes prefix = PrefixHashes.of("z".repeat(2_048));
        announce(members.get(0), "e1", 1, 1, "v");
        round();
        members.get(0)
                .registry
                .receive(
                        announcement("e1", 1, 2, "v", List.of(CacheEvent.of(prefix.hash(1), true))),
                        KEY);
        for (int i = 0; i < 5; i++) {
            round();
        }
        for (Member member : members) {
            assertThat(member.prefixes.cachedBlocks(EndpointId.of("e1"), 1, prefix)).isEqualTo(2);
        }
    }

    @Test
    void wrongKeyAndUnknownServiceAreRefused() {
        start(1);
        EndpointRegistry registry = members.get(0).registry;
        EndpointAnnouncement good = announcement("e1", 1, 1, "v", List.of());
        assertThatThrownBy(() -> registry.receive(good, "wrong"))
                .isInstanceOf(RefusedException.class)
                .hasMessageContaining("unauthorized");
        EndpointAnnouncement other =
                new EndpointAnnouncement(
                        good.id(),
                        "other",
                        "a:1",
                        "az",
                        1,
                        1,
                        null,
                        null,
                        null,
                        0,
                        EndpointPhase.SERVING);
        assertThatThrownBy(() -> registry.receive(other, KEY))
                .isInstanceOf(RefusedException.class)
                .hasMessageContaining("not_found");
        assertThat(members.get(0).table.read().byId()).isEmpty();
    }
}

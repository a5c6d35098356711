package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.blackboard.BlackboardPart;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.LeaderTerm;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.storage.DiskLogStore;
import io.sapphirestack.runtime.transport.PeerHandlerRegistry;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests voters, clients and watchers together: a submitted command must reach the blackboard of
 * every instance, also when a voter stops, loses its disk or is isolated.
 */
class ControlServiceTests {

    private static final List<String> VOTERS = List.of("v1:1", "v2:1", "v3:1");
    private static final long TIMEOUT_MS = 20_000;

    /** Shorter than one attempt at a voter that does not answer. */
    private static final long SHORT_TIMEOUT_MS = 500;

    @TempDir Path folder;

    private final MillisClock clock = MillisClock.monotonic();
    private final InMemoryPeers peers = new InMemoryPeers();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, ControlService> services = new LinkedHashMap<>();
    private final Map<String, ControlWatcher> watchers = new LinkedHashMap<>();
    private final Map<String, Blackboard> blackboards = new LinkedHashMap<>();
    private DefaultControlClient client;

    @BeforeEach
    void startVoters() throws Exception {
        for (String address : VOTERS) {
            startVoter(address, address.substring(0, 2));
        }
        client = new DefaultControlClient(VOTERS, peers.transport("client"), scheduler, clock);
    }

    @AfterEach
    void stopAll() throws Exception {
        watchers.values().forEach(ControlWatcher::stop);
        for (ControlService service : services.values()) {
            service.stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        scheduler.shutdownNow();
        peers.close();
    }

    @Test
    void acceptedChangeReachesEveryInstanceWithAConfirmation() throws Exception {
        startWatcher("i1");
        startWatcher("i2");

        ControlResult result = submit(putAccount("c1", "a", 0, 3));

        long revision = ((ControlResult.RecordAccepted) result).revision();
        for (Blackboard board : blackboards.values()) {
            ControlView view = await(board.control(), v -> v.revision() >= revision);
            assertThat(view.findRecord(new RecordKey("account", "a"))).isPresent();
            await(board.configurationLease(), lease -> lease.isValidAt(clock.nowMs()));
        }
    }

    @Test
    void resentCommandGetsTheFirstResultAfterTheLeaderStops() throws Exception {
        ControlResult first = submit(putAccount("c1", "a", 0, 3));
        services.remove(leader()).stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        assertThat(submit(putAccount("c1", "a", 0, 3))).isEqualTo(first);
        assertThat(submit(putAccount("c2", "a", 0, 4)))
                .isInstanceOf(ControlResult.RecordConflict.class);
    }

    @Test
    void voterWithAnEmptyDiskIsCaughtUpBeforeASecondVoterStops() throws Exception {
        ControlResult first = submit(putAccount("c1", "a", 0, 3));
        String replaced = anyFollower();
        services.remove(replaced).stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        startVoter(replaced, "empty-" + replaced.substring(0, 2));
        String second = VOTERS.stream().filter(a -> !a.equals(replaced)).findFirst().orElseThrow();
        submitUntilVoter(replaced);
        services.remove(second).stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        assertThat(submit(putAccount("c1", "a", 0, 3))).isEqualTo(first);
    }

    /**
     * A snapshot must remain intact when it is encoded, stored, and sent in chunks: the log is
     * larger than the snapshot threshold, so a voter with an empty disk must be caught up from a
     * snapshot.
     */
    @Test
    void voterWithAnEmptyDiskIsCaughtUpFromASnapshot() throws Exception {
        byte[] responseBody = new byte[512 * 1024];
        InstanceRef holder = new InstanceRef(InstanceId.of("i1"), 1);
        for (int i = 0; i < 24; i++) {
            OrderKey key = new OrderKey(AccountId.of("a"), "refill", "k" + i);
            responseBody[0] = (byte) i;
            submit(new ControlCommand.ReserveOrder(key, "h", holder, "n" + i));
            submit(new ControlCommand.CompleteOrder(key, "n" + i, 200, "t", responseBody));
        }
        for (String address : VOTERS) {
            services.remove(address).stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            startVoter(address, address.substring(0, 2));
            submit(putAccount("restarted " + address, address.substring(0, 2), 0, 1));
        }
        services.remove("v3:1").stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        startVoter("v3:1", "empty");
        submitUntilVoter("v3:1");
        services.remove("v1:1").stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        for (int i = 0; i < 24; i++) {
            OrderKey key = new OrderKey(AccountId.of("a"), "refill", "k" + i);
            ControlResult read = submit(new ControlCommand.ReadOrder(key));
            assertThat(((ControlResult.OrderDone) read).answer()[0]).isEqualTo((byte) i);
        }
        assertThat(folder.resolve("empty").toFile().list())
                .anyMatch(name -> name.startsWith("snapshot-"));
    }

    @Test
    void instanceWithoutHeartbeatsIsEvictedAndJoinsAsANewIncarnation() throws Exception {
        startWatcher("i1");
        startWatcher("i2");
        Blackboard board = blackboards.get("i1");
        InstanceRef before = await(board.self(), Optional::isPresent).orElseThrow();

        peers.isolate("i1");
        Blackboard other = blackboards.get("i2");
        await(other.control(), view -> view.isLive(before));
        await(other.control(), view -> !view.isLive(before));
        peers.reconnect("i1");

        InstanceRef after =
                await(board.self(), self -> self.filter(r -> !r.equals(before)).isPresent())
                        .orElseThrow();
        assertThat(after.incarnation()).isGreaterThan(before.incarnation());
    }

    @Test
    void isolatedLeaderConfirmsNoLongPollAndAnotherVoterTakesOver() throws Exception {
        submit(putAccount("c1", "a", 0, 3));
        String isolated = leader();
        peers.isolate(isolated);

        WatchReply reply =
                peers.transport(isolated)
                        .call(
                                isolated,
                                new WatchRequest(status("i9"), 0, 500, 0, false),
                                TIMEOUT_MS)
                        .get();
        assertThat(reply.confirmed()).isFalse();
        ControlResult result = submit(putAccount("c2", "b", 0, 3));

        assertThat(result).isInstanceOf(ControlResult.RecordAccepted.class);
        peers.reconnect(isolated);
        assertThat(confirmedRevision(isolated))
                .isGreaterThanOrEqualTo(((ControlResult.RecordAccepted) result).revision());
    }

    /**
     * An instance whose operator calls are rare must not spend most of the time of the next one at
     * a leader that was lost long before: its long polls have found the new leader meanwhile.
     */
    @Test
    void firstCommandAfterTheLossOfTheLeaderGoesToTheNewOne() throws Exception {
        VoterDirectory directory = new VoterDirectory(VOTERS);
        DefaultControlClient ownClient =
                new DefaultControlClient(directory, peers.transport("i1"), scheduler, clock);
        startWatcher("i1", directory);
        Blackboard board = blackboards.get("i1");
        submitWith(ownClient, putAccount("c1", "a", 0, 3), TIMEOUT_MS);
        String lost = leader();
        submitWith(ownClient, putAccount("c2", "b", 0, 3), TIMEOUT_MS);

        peers.isolate(lost);
        ControlResult result = submit(putAccount("c3", "c", 0, 3));
        long revision = ((ControlResult.RecordAccepted) result).revision();
        await(board.control(), view -> view.revision() >= revision);
        long confirmedMs = clock.nowMs() + ControlWatcher.CONFIGURATION_LEASE_MS;
        await(board.configurationLease(), lease -> lease.isValidAt(confirmedMs - 1));

        submitWith(ownClient, putAccount("c4", "d", 0, 3), SHORT_TIMEOUT_MS);
    }

    @Test
    void reportedPeerIsEvictedAndItsOwnReportIsRejected() throws Exception {
        startWatcher("i1");
        startWatcher("i2");
        InstanceRef first = await(blackboards.get("i1").self(), Optional::isPresent).orElseThrow();
        InstanceRef second = await(blackboards.get("i2").self(), Optional::isPresent).orElseThrow();
        await(blackboards.get("i1").control(), view -> view.isLive(first) && view.isLive(second));
        leader();

        assertThat(report(first, second)).isTrue();
        assertThat(report(second, first)).isFalse();

        await(blackboards.get("i1").control(), view -> !view.isLive(second));
        await(
                blackboards.get("i2").self(),
                self -> self.filter(r -> !r.equals(second)).isPresent());
        assertThat(blackboards.get("i1").self().read()).contains(first);
    }

    @Test
    void fleetStatusNamesLiveInstancesAndTheirRevision() throws Exception {
        startWatcher("i1");
        await(blackboards.get("i1").configurationLease(), lease -> lease.isValidAt(clock.nowMs()));
        long revision =
                ((ControlResult.RecordAccepted) submit(putAccount("c1", "a", 0, 3))).revision();
        await(blackboards.get("i1").control(), view -> view.revision() >= revision);

        long deadlineMs = clock.nowMs() + TIMEOUT_MS;
        FleetStatus fleet = client.fleetStatus(TIMEOUT_MS).get();
        while (fleet.instances().isEmpty()
                || fleet.instances().get(0).appliedRevision() < revision) {
            assertThat(clock.nowMs()).as("time until i1 reports").isLessThan(deadlineMs);
            fleet = client.fleetStatus(TIMEOUT_MS).get();
        }
        assertThat(VOTERS).contains(fleet.leader());
        assertThat(fleet.instances()).hasSize(1);
    }

    @Test
    void orderIsGrantedOnceAndItsResponseIsStored() throws Exception {
        OrderKey key = new OrderKey(AccountId.of("a"), "refill", "k1");
        InstanceRef holder = new InstanceRef(InstanceId.of("i1"), 1);
        ControlCommand reserve = new ControlCommand.ReserveOrder(key, "h", holder, "n1");

        assertThat(submit(reserve)).isEqualTo(new ControlResult.OrderGranted("n1"));
        assertThat(submit(new ControlCommand.ReserveOrder(key, "h", holder, "n2")))
                .isEqualTo(new ControlResult.OrderReserved(holder, "n1", "h"));
        submit(new ControlCommand.CompleteOrder(key, "n1", 200, "text/plain", new byte[] {7}));
        ControlResult read = submit(new ControlCommand.ReadOrder(key));

        assertThat(((ControlResult.OrderDone) read).answer()).containsExactly(7);
    }

    @Test
    void leadershipIsTransferredAndItsLossIsReported() throws Exception {
        submit(putAccount("c1", "a", 0, 3));
        String leader = leader();
        CompletableFuture<Optional<LeaderTerm>> lostLeadership = new CompletableFuture<>();
        services.get(leader).leaderLease().addListener(lostLeadership::complete);

        services.get(leader).transferLeadership().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        assertThat(lostLeadership.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEmpty();
        assertThat(submit(putAccount("c2", "b", 0, 3)))
                .isInstanceOf(ControlResult.RecordAccepted.class);
    }

    @Test
    void plannedLeaveRemovesTheInstance() throws Exception {
        startWatcher("i1");
        startWatcher("i2");
        InstanceRef ref = await(blackboards.get("i1").self(), Optional::isPresent).orElseThrow();
        await(blackboards.get("i2").control(), view -> view.isLive(ref));

        watchers.get("i1").leave(TIMEOUT_MS).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);

        await(blackboards.get("i2").control(), view -> !view.isLive(ref));
    }

    /**
     * A large content travels apart from the long polls, which are the heartbeats, and is the same
     * at each instance; small ones travel with them (review/6).
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 16 * 1024, 16 * 1024 + 1, 200_000, 2_000_000})
    void contentOfAnySizeReachesEachInstance(int bytes) throws Exception {
        startWatcher("i1");
        startWatcher("i2");
        byte[] content = new byte[bytes];
        new Random(bytes).nextBytes(content);
        RecordKey key = new RecordKey("traffic-plan", "current");
        submit(new ControlCommand.PutNewest("operator", key, 7, BinaryNode.valueOf(content)));

        for (String id : List.of("i1", "i2")) {
            ControlView view =
                    await(blackboards.get(id).control(), v -> v.findRecord(key).isPresent());
            assertThat(view.findRecord(key).flatMap(RecordContent::bytesOf)).contains(content);
        }
        WatchReply reply =
                peers.transport("i9")
                        .call(VOTERS.get(0), new WatchRequest(status("i9"), 0, 100, 0, true), 5_000)
                        .get();
        boolean isDetached =
                reply.view()
                        .flatMap(v -> v.findRecord(key))
                        .flatMap(RecordContent::referenceOf)
                        .isPresent();
        assertThat(isDetached).isEqualTo(bytes > RecordContent.MAX_ATTACHED_BYTES);
    }

    private void startVoter(String address, String folderName) throws Exception {
        PeerHandlerRegistry registry = peers.registry(address);
        ControlService service =
                new ControlService(
                        ReplicationSettings.withDefaults(address, VOTERS),
                        () -> new DiskLogStore(folder.resolve(folderName)),
                        peers.transport(address),
                        registry,
                        clock,
                        MillisClock.wall(),
                        new Random(address.hashCode()),
                        new RecordSpecResolver());
        new ContentServer(() -> ControlView.EMPTY, Optional.of(service)).register(registry);
        service.start();
        services.put(address, service);
    }

    private void startWatcher(String id) {
        startWatcher(id, new VoterDirectory(VOTERS));
    }

    private void startWatcher(String id, VoterDirectory directory) {
        Blackboard board = Blackboard.create();
        InstanceRef ref = new InstanceRef(InstanceId.of(id), 1);
        ControlWatcher watcher =
                new ControlWatcher(
                        new InstanceInfo(ref, "az1", "r1", id + ":1", id + ":2", 1),
                        directory,
                        peers.transport(id),
                        new DefaultControlClient(VOTERS, peers.transport(id), scheduler, clock),
                        board,
                        () -> status(id),
                        clock,
                        new Random(id.hashCode()));
        blackboards.put(id, board);
        watchers.put(id, watcher);
        watcher.start();
    }

    private boolean report(InstanceRef reporter, InstanceRef reported) throws Exception {
        return client.reportPeer(reporter, reported, TIMEOUT_MS)
                .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private long confirmedRevision(String voter) throws Exception {
        long deadlineMs = clock.nowMs() + TIMEOUT_MS;
        while (clock.nowMs() < deadlineMs) {
            WatchReply reply =
                    peers.transport("i9")
                            .call(
                                    voter,
                                    new WatchRequest(status("i9"), 0, 100, 0, false),
                                    TIMEOUT_MS)
                            .get();
            if (reply.confirmed()) {
                return reply.revision();
            }
        }
        throw new AssertionError(voter + " confirmed no long poll within " + TIMEOUT_MS + " ms");
    }

    private static InstanceStatus status(String id) {
        InstanceRef ref = new InstanceRef(InstanceId.of(id), 1);
        return new InstanceStatus(ref, 0, Readiness.READY, 0, Map.of(), List.of());
    }

    private ControlResult submit(ControlCommand command) throws Exception {
        return submitWith(client, command, TIMEOUT_MS);
    }

    private static ControlResult submitWith(
            ControlClient submitter, ControlCommand command, long timeoutMs) throws Exception {
        return submitter
                .submit(command, timeoutMs)
                .get(timeoutMs + TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Waits for a voter with a valid leader lease: a result may arrive shortly before the leader
     * publishes its lease.
     */
    private String leader() throws Exception {
        long deadlineMs = clock.nowMs() + TIMEOUT_MS;
        while (clock.nowMs() < deadlineMs) {
            Optional<String> leader =
                    services.entrySet().stream()
                            .filter(e -> e.getValue().leaderLease().current().isPresent())
                            .map(Map.Entry::getKey)
                            .findFirst();
            if (leader.isPresent()) {
                return leader.get();
            }
            submit(new ControlCommand.ReadHistory(new RecordKey("account", "a")));
        }
        throw new AssertionError("no voter held the leader lease within " + TIMEOUT_MS + " ms");
    }

    private String anyFollower() throws Exception {
        String leader = leader();
        return VOTERS.stream().filter(a -> !a.equals(leader)).findFirst().orElseThrow();
    }

    private void submitUntilVoter(String address) throws Exception {
        long deadlineMs = clock.nowMs() + TIMEOUT_MS;
        int number = 0;
        while (!services.get(address).isVoter().get(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            assertThat(clock.nowMs())
                    .as("time until %s is a voter", address)
                    .isLessThan(deadlineMs);
            submit(putAccount("fill" + number, "fill" + number, 0, 1));
            number++;
        }
    }

    private static ControlCommand putAccount(
            String changeId, String name, long expectedRevision, int priority) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("keyHash", "sha256$00$" + "ab".repeat(32));
        body.put("priority", priority);
        return new ControlCommand.PutRecord(
                changeId,
                "op",
                new RecordKey("account", name),
                expectedRevision,
                1,
                1,
                body,
                false);
    }

    private static <T> T await(BlackboardPart<T> part, Predicate<T> condition) throws Exception {
        CompletableFuture<T> reached = new CompletableFuture<>();
        part.addListener(
                value -> {
                    if (condition.test(value)) {
                        reached.complete(value);
                    }
                });
        T current = part.read();
        return condition.test(current) ? current : reached.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}

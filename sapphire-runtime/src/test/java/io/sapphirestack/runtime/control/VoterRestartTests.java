package io.sapphirestack.runtime.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlState;
import io.sapphirestack.core.control.RecordContent;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.replication.ReplicationSettings;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.control.FaultyLogStore.Fault;
import io.sapphirestack.runtime.storage.DiskLogStore;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a voter that stays stopped after a fault that has passed: faults on several
 * voters, one after the other, then left the control log without a majority until the processes
 * were restarted.
 */
class VoterRestartTests {

    private static final List<String> VOTERS = List.of("v1:1", "v2:1", "v3:1", "v4:1");
    private static final long TIMEOUT_MS = 20_000;
    private static final int MIN_VOTERS = 3;
    private static final long HANG_MS = 4_000;

    @TempDir Path folder;

    private final MillisClock clock = MillisClock.monotonic();
    private final InMemoryPeers peers = new InMemoryPeers();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, ControlService> services = new LinkedHashMap<>();
    private final Map<String, FaultyLogStore.Switch> faults = new LinkedHashMap<>();
    private final DefaultControlClient client =
            new DefaultControlClient(VOTERS, peers.transport("client"), scheduler, clock);
    private int submitted;

    @AfterEach
    void stopAll() throws Exception {
        for (ControlService service : services.values()) {
            service.stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        scheduler.shutdownNow();
        peers.close();
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void votersThatFailedOneAfterTheOtherServeAgain(Fault fault) throws Exception {
        for (String address : VOTERS) {
            startVoter(address, Fault.NONE);
        }
        submit();
        for (String address : VOTERS) {
            failUntilRaised(address, fault);
            submit();
        }

        for (String address : VOTERS) {
            awaitRunningVoter(address);
        }
        // With one voter failing, all others are needed for a majority of the four.
        faults.get(VOTERS.get(0)).set(Fault.NO_SPACE);
        submit();
    }

    @Test
    void voterWhoseDiskIsFullAtItsStartServesOnceTheDiskHasRoom() throws Exception {
        for (String address : VOTERS) {
            startVoter(address, Fault.NO_SPACE);
        }
        assertThat(services.values()).noneMatch(ControlService::isRunning);

        faults.values().forEach(store -> store.set(Fault.NONE));

        submit();
    }

    /**
     * Disks that sync slowly must not end the control log: the syncs of a term and a vote took
     * longer than the election timeout, so that no leader was ever elected.
     */
    @ParameterizedTest
    @ValueSource(longs = {100, 200, 400})
    void commandsAreAcceptedWhileAllDisksSyncSlowly(long syncMs) throws Exception {
        for (String address : VOTERS) {
            startVoter(address, Fault.NONE);
            faults.get(address).setSyncMs(syncMs);
        }
        submit();
        String leader =
                VOTERS.stream()
                        .filter(a -> services.get(a).leaderLease().current().isPresent())
                        .findFirst()
                        .orElseThrow();

        for (int i = 0; i < 5; i++) {
            submit();
        }
        assertThat(services.get(leader).leaderLease().current())
                .as("the first leader stays")
                .isPresent();
        services.get(leader).stop().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        submit();
    }

    /** A large text is the same after it was replicated, written, and read by restarted voters. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void textIsReadBackUnchangedAfterARestart(boolean isCompressed) throws Exception {
        RecordKey key = new RecordKey("traffic-plan", "current");
        String text = "{\"list\":[],\"name\":\"k\u025bse\",\"other\":null}".repeat(10_000);
        for (String address : VOTERS) {
            startVoter(address, Fault.NONE);
        }
        submit();
        client.submit(
                        new ControlCommand.PutNewest(
                                "operator",
                                key,
                                7,
                                isCompressed ? RecordContent.encode(text) : TextNode.valueOf(text)),
                        TIMEOUT_MS)
                .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        for (String address : VOTERS) {
            failUntilRaised(address, Fault.NO_SPACE);
            awaitRunningVoter(address);
        }

        ConfigRecord record =
                client.readRecord(key, TIMEOUT_MS)
                        .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        .orElseThrow();
        assertThat(RecordContent.decode(record.body().path(ControlState.CONTENT_FIELD)))
                .isEqualTo(text);
    }

    /**
     * Reads must not depend on the disks: an operator reads the configuration from a busy fleet.
     */
    @Test
    void recordsAreReadWhileTheDisksOfAllVotersHang() throws Exception {
        RecordKey key = new RecordKey("traffic-plan", "current");
        for (String address : VOTERS) {
            startVoter(address, Fault.NONE);
        }
        submit();
        client.submit(
                        new ControlCommand.PutNewest("operator", key, 7, TextNode.valueOf("plan")),
                        TIMEOUT_MS)
                .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        faults.values().forEach(store -> store.setSyncMs(HANG_MS));
        CompletableFuture<ControlResult> blocked =
                client.submit(new ControlCommand.ReadHistory(key), TIMEOUT_MS);

        for (int i = 0; i < 20; i++) {
            Optional<ConfigRecord> record =
                    client.readRecord(key, TIMEOUT_MS).get(HANG_MS, TimeUnit.MILLISECONDS);
            assertThat(record.map(found -> found.body().path("number").asInt())).contains(7);
        }
        assertThat(blocked).isNotDone();
        faults.values().forEach(store -> store.setSyncMs(0));
        blocked.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void startVoter(String address, Fault initialFault) throws Exception {
        FaultyLogStore.Switch store = new FaultyLogStore.Switch();
        store.set(initialFault);
        faults.put(address, store);
        ControlService service =
                new ControlService(
                        ReplicationSettings.withDefaults(
                                address,
                                VOTERS,
                                new ReplicationSettings.VoterPolicy(
                                        true, true, MIN_VOTERS, () -> VOTERS)),
                        () ->
                                new FaultyLogStore(
                                        new DiskLogStore(folder.resolve(address.substring(0, 2))),
                                        store),
                        peers.transport(address),
                        peers.registry(address),
                        clock,
                        MillisClock.wall(),
                        new Random(address.hashCode()),
                        new RecordSpecResolver());
        services.put(address, service);
        service.start();
    }

    private void failUntilRaised(String address, Fault fault) throws Exception {
        FaultyLogStore.Switch store = faults.get(address);
        int before = store.raisedCount();
        store.set(fault);
        long deadlineMs = clock.nowMs() + TIMEOUT_MS;
        while (store.raisedCount() == before) {
            assertThat(clock.nowMs()).as("time until %s fails", address).isLessThan(deadlineMs);
            submit();
        }
        store.set(Fault.NONE);
    }

    private void awaitRunningVoter(String address) throws Exception {
        long deadlineMs = clock.nowMs() + TIMEOUT_MS;
        while (!services.get(address).isVoter().get(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            assertThat(clock.nowMs())
                    .as("time until %s is a running voter", address)
                    .isLessThan(deadlineMs);
            submit();
        }
    }

    private void submit() throws Exception {
        submitted++;
        OrderKey key = new OrderKey(AccountId.of("a"), "refill", "k" + submitted);
        InstanceRef holder = new InstanceRef(InstanceId.of("i1"), 1);
        ControlResult result =
                client.submit(
                                new ControlCommand.ReserveOrder(key, "h", holder, "n" + submitted),
                                TIMEOUT_MS)
                        .get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(result).isEqualTo(new ControlResult.OrderGranted("n" + submitted));
    }
}

package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.record.RolloutState;
import io.sapphirestack.core.relay.CallerAuthentication;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.rollout.LocalRollouts;
import io.sapphirestack.core.rollout.RolloutOrder;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.version.VersionCountsTable;
import io.sapphirestack.runtime.control.ControlClient;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an order that is acknowledged without being stored, is started twice, or
 * overwrites one that another instance has just written, and against a rollout that ends with its
 * evaluator.
 */
class RolloutServiceTests {

    private static final RolloutOrder ORDER = new RolloutOrder("my service", "v2", 10_000);

    private final MemoryControl control = new MemoryControl();
    private final RolloutRecords records =
            new RolloutRecords(control, control::readRecord, control::view);
    private long nowMs = 1_000_000;

    private RolloutService.Reply start(RolloutOrder order) throws Exception {
        TrafficPlan plan =
                new TrafficPlan(
                        1,
                        List.of(),
                        List.of(new RelayedService("my service", true)),
                        CallerAuthentication.none(),
                        CallerLimits.DEFAULT);
        return new RolloutService(records, () -> Optional.of(plan), () -> nowMs)
                .start(order, 100)
                .get();
    }

    private RolloutState state() {
        return records.rollouts().get("my service").state();
    }

    @ParameterizedTest
    @CsvSource({
        "my service, v2, 10000, COMMITTED",
        "my service, v3, 10000, CONFLICT",
        "other, v2, 10000, UNKNOWN_SERVICE"
    })
    void secondOrderChangesNothingWhileTheFirstIsInProgress(
            String service, String version, long periodMs, RolloutService.Reply expected)
            throws Exception {
        assertThat(start(ORDER)).isEqualTo(RolloutService.Reply.COMMITTED);
        assertThat(start(new RolloutOrder(service, version, periodMs))).isEqualTo(expected);
        assertThat(control.writes).isEqualTo(1);
        assertThat(state()).isEqualTo(RolloutState.IN_PROGRESS);
    }

    @Test
    void orderIsDecidedAgainAfterAnotherInstanceWroteFirst() throws Exception {
        control.beforeNextWrite = () -> control.put(ORDER.start(Optional.empty(), nowMs).toBody());
        assertThat(start(new RolloutOrder("my service", "v3", 10_000)))
                .isEqualTo(RolloutService.Reply.CONFLICT);
        assertThat(records.rollouts().get("my service").version()).isEqualTo("v2");
    }

    @Test
    void anotherLeaderContinuesFromTheRecord() throws Exception {
        start(ORDER);
        controller(false).tick();
        nowMs += ORDER.periodMs();
        controller(false).tick();
        assertThat(state()).isEqualTo(RolloutState.IN_PROGRESS);
        controller(true).tick();
        assertThat(state()).isEqualTo(RolloutState.WITHDRAWN);
        controller(true).tick();
        assertThat(control.writes).isEqualTo(2);
    }

    private RolloutController controller(boolean leads) {
        return new RolloutController(
                records,
                new LocalRollouts(records::rollouts, () -> nowMs),
                Optional::empty,
                () -> new EndpointTable(Map.of()),
                () -> VersionCountsTable.EMPTY,
                () -> leads);
    }

    /** Control log in memory with the compare-and-set of records. */
    private static final class MemoryControl implements ControlClient {

        private final Map<RecordKey, ConfigRecord> stored = new HashMap<>();
        private RecordKey key;
        private long revision;
        private int writes;
        private Runnable beforeNextWrite = () -> {};

        private void put(JsonNode body) {
            revision++;
            stored.put(key, new ConfigRecord(key, 1, 1, revision, "c", "o", body));
        }

        CompletableFuture<Optional<ConfigRecord>> readRecord(RecordKey wanted, long timeoutMs) {
            return CompletableFuture.completedFuture(Optional.ofNullable(stored.get(wanted)));
        }

        ControlView view() {
            return new ControlView(revision, stored, Map.of(), List.of());
        }

        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
            ControlCommand.PutRecord put = (ControlCommand.PutRecord) command;
            key = put.key();
            Runnable before = beforeNextWrite;
            beforeNextWrite = () -> {};
            before.run();
            assertThat(new RecordSpecResolver().validate(key, 1, 1, put.body())).isEmpty();
            long current = stored.containsKey(key) ? stored.get(key).revision() : 0;
            if (current != put.expectedRevision()) {
                return CompletableFuture.completedFuture(
                        new ControlResult.RecordConflict(current, "", ""));
            }
            writes++;
            put(put.body());
            return CompletableFuture.completedFuture(new ControlResult.RecordAccepted(revision));
        }

        @Override
        public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
            return new CompletableFuture<>();
        }
    }
}

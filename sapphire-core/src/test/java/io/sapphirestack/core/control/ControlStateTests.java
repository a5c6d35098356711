package io.sapphirestack.core.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the results of the state machine, and that a state restored from a snapshot and a view
 * updated by deltas equal the original.
 */
class ControlStateTests {

    private static final ControlCodec CODEC = new ControlCodec();
    private static final RecordSpecResolver RESOLVER = new RecordSpecResolver();
    private static final RecordKey KEY = new RecordKey("account", "a");

    private final ControlState state = new ControlState();
    private long index;

    @Test
    void firstOfTwoChangesWithEqualRevisionIsAcceptedAndTheOtherConflictNamesIt() {
        assertThat(apply(put("c1", KEY, 0))).isEqualTo(new ControlResult.RecordAccepted(1));
        assertThat(apply(put("c2", KEY, 0)))
                .isEqualTo(new ControlResult.RecordConflict(1, "c1", "op"));
        assertThat(apply(put("c3", KEY, 1))).isEqualTo(new ControlResult.RecordAccepted(3));
    }

    @Test
    void resentChangeGetsTheFirstResultAfterASnapshot() {
        ControlResult accepted = apply(put("c1", KEY, 0));
        ControlResult conflict = apply(put("c2", KEY, 0));
        ControlState restored = restore(state);

        assertThat(restored.apply(10, 0, validated(put("c1", KEY, 0)))).isEqualTo(accepted);
        assertThat(restored.apply(11, 0, validated(put("c2", KEY, 0)))).isEqualTo(conflict);
        assertThat(restored.view().revision()).isEqualTo(1);
    }

    @Test
    void dryRunChangesNothingAndItsResultIsNotKept() {
        ControlCommand.PutRecord put = put("c1", KEY, 0);
        ControlCommand dryRun =
                new ControlCommand.PutRecord("c1", "op", KEY, 0, 1, 1, put.body(), true);

        assertThat(apply(dryRun)).isEqualTo(new ControlResult.RecordAccepted(0));
        assertThat(state.view().records()).isEmpty();
        assertThat(apply(put)).isEqualTo(new ControlResult.RecordAccepted(2));
    }

    @Test
    void invalidRecordIsRefusedWithTheNameOfTheField() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ControlResult result =
                apply(new ControlCommand.PutRecord("c1", "op", KEY, 0, 1, 1, body, false));

        assertThat(result)
                .isEqualTo(
                        new ControlResult.RecordRefused("invalid_record", "keyHash is required"));
    }

    @Test
    void recordThatALiveInstanceCannotReadIsRefusedUntilAllAreUpgraded() {
        ControlCommand.PutRecord put =
                new ControlCommand.PutRecord("c1", "op", KEY, 0, 2, 2, accountBody(), false);
        apply(join("i1", 1, "j1", "x:1"));
        apply(join("i2", 2, "j2", "x:2"));

        ControlResult.RecordRefused refused = (ControlResult.RecordRefused) apply(put);
        assertThat(refused.code()).isEqualTo("unreadable_by_instances");
        assertThat(refused.detail()).contains("i1/1").doesNotContain("i2/1");

        apply(join("i1", 2, "j3", "x:1"));
        assertThat(
                        apply(
                                new ControlCommand.PutRecord(
                                        "c2", "op", KEY, 0, 2, 2, accountBody(), false)))
                .isInstanceOf(ControlResult.RecordAccepted.class);
    }

    @Test
    void historyKeepsTheLastTenVersionsWithDeletions() {
        long revision = 0;
        for (int i = 0; i < 12; i++) {
            revision =
                    ((ControlResult.RecordAccepted) apply(put("c" + i, KEY, revision))).revision();
        }
        apply(new ControlCommand.DeleteRecord("d1", "op", KEY, revision, false));

        ControlResult.RecordHistory history =
                (ControlResult.RecordHistory) apply(new ControlCommand.ReadHistory(KEY));
        assertThat(history.versions()).hasSize(10);
        assertThat(history.versions().get(0).body().isNull()).isTrue();
        assertThat(history.versions().get(1).changeId()).isEqualTo("c11");
        assertThat(state.view().findRecord(KEY)).isEmpty();
    }

    @Test
    void newIncarnationEvictsTheOldOneFirst() {
        ControlResult first = apply(join("i1", 1, "j1", "x:1"));
        apply(join("i1", 1, "j2", "x:1"));

        assertThat(apply(join("i1", 1, "j1", "x:1"))).isEqualTo(first);
        assertThat(state.view().events()).hasSize(3);
        assertThat(state.view().events().get(1)).isInstanceOf(MembershipEvent.Evicted.class);
        assertThat(state.view().isLive(new InstanceRef(InstanceId.of("i1"), 2))).isTrue();
    }

    @Test
    void evictionOfAnIncarnationThatIsNotLiveIsIgnored() {
        apply(join("i1", 1, "j1", "x:1"));
        apply(join("i1", 1, "j2", "x:1"));
        apply(evict(new InstanceRef(InstanceId.of("i1"), 1)));

        assertThat(state.view().instances()).hasSize(1);
    }

    @Test
    void stopOfAVoterThatBreaksTheMajorityIsRefused() {
        state.applyVoters(++index, 0, Optional.of(Map.of("A", "x:1", "B", "x:2", "C", "x:3")));
        apply(join("i1", 1, "j1", "x:1"));
        apply(join("i2", 1, "j2", "x:2"));
        apply(join("i3", 1, "j3", "x:3"));
        apply(join("i4", 1, "j4", "x:4"));

        assertThat(apply(stop("c1", "i1"))).isInstanceOf(ControlResult.RecordAccepted.class);
        assertThat(apply(stop("c2", "i4"))).isInstanceOf(ControlResult.RecordAccepted.class);
        assertThat(((ControlResult.RecordRefused) apply(stop("c3", "i2"))).code())
                .isEqualTo("stop_breaks_majority");
    }

    @Test
    void onlyOneOrderToAnEngineIsOutstandingAtATime() {
        EndpointId engine = EndpointId.of("e1");
        EndpointOrder order =
                new EndpointOrder(EndpointOrder.Action.LOAD, new ModelPin("m", "", "1"), "", 10);
        ControlCommand issue = new ControlCommand.IssueEndpointOrder(engine, order);

        assertThat(apply(issue)).isEqualTo(new ControlResult.EndpointOrderIssued(1));
        assertThat(apply(issue)).isEqualTo(new ControlResult.EndpointOrderOutstanding(1));
        apply(new ControlCommand.CompleteEndpointOrder(engine, 9, "stale"));
        assertThat(apply(issue)).isEqualTo(new ControlResult.EndpointOrderOutstanding(1));
        apply(new ControlCommand.CompleteEndpointOrder(engine, 1, "done"));
        assertThat(apply(issue)).isEqualTo(new ControlResult.EndpointOrderIssued(6));
    }

    @Test
    void timeNeverDecreases() {
        state.apply(1, 500, validated(put("c1", KEY, 0)));
        state.apply(2, 400, validated(put("c2", KEY, 1)));

        assertThat(state.timeMs()).isEqualTo(500);
    }

    @Test
    void snapshotOfAnotherClusterIsRefused() {
        ControlSnapshot snapshot = state.snapshot("K1");

        assertThatThrownBy(() -> new ControlState().restore(snapshot, "K2"))
                .hasMessageContaining("K1");
    }

    /**
     * Applies random commands, and guards against a restored state machine or a view updated by
     * deltas that differs from the original.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void snapshotsAndDeltasPreserveTheCompleteState(long seed) throws Exception {
        Random random = new Random(seed);
        ControlState copy = new ControlState();
        ControlView updatedView = ControlView.EMPTY;
        List<ControlCommand> submitted = new ArrayList<>();
        for (int i = 1; i <= 1_500; i++) {
            ControlCommand command =
                    !submitted.isEmpty() && random.nextInt(5) == 0
                            ? submitted.get(random.nextInt(submitted.size()))
                            : randomCommand(random, i);
            submitted.add(command);
            ControlResult expected = state.apply(i, i, validated(command));
            assertThat(encoded(copy.apply(i, i, validated(command)))).isEqualTo(encoded(expected));
            if (random.nextInt(50) == 0) {
                copy = restore(copy);
            }
            if (random.nextInt(20) == 0) {
                updatedView =
                        state.deltaSince(updatedView.revision()).orElseThrow().applyTo(updatedView);
                assertThat(updatedView).isEqualTo(state.view());
            }
        }
        assertThat(encoded(copy.snapshot("K"))).isEqualTo(encoded(state.snapshot("K")));
    }

    private ControlCommand randomCommand(Random random, int number) {
        RecordKey key = new RecordKey("account", "a" + random.nextInt(4));
        long revision =
                state.view().findRecord(key).map(record -> record.revision()).orElse(0L)
                        - (random.nextInt(4) == 0 ? 1 : 0);
        InstanceRef ref =
                new InstanceRef(InstanceId.of("i" + random.nextInt(4)), 1 + random.nextInt(20));
        OrderKey order = new OrderKey(AccountId.of("a"), "refill", "k" + random.nextInt(20));
        String nonce = "n" + random.nextInt(60);
        return switch (random.nextInt(8)) {
            case 0, 1 -> put("c" + number, key, revision);
            case 2 -> new ControlCommand.DeleteRecord("c" + number, "op", key, revision, false);
            case 3 -> join(ref.id().value(), 1, "j" + number, "x:1");
            case 4 -> evict(ref);
            case 5 -> new ControlCommand.ReserveOrder(order, "h", ref, nonce);
            case 6 -> new ControlCommand.ReleaseOrder(order, nonce);
            default -> new ControlCommand.CompleteOrder(order, nonce, 200, "t", new byte[] {1});
        };
    }

    private static Object encoded(Object value) throws Exception {
        return new ObjectMapper().readTree(CODEC.encode(value));
    }

    private static ControlState restore(ControlState original) {
        ControlState restored = new ControlState();
        byte[] data = CODEC.encode(original.snapshot("K"));
        restored.restore(CODEC.decodeSnapshot(data), "K");
        return restored;
    }

    private ControlResult apply(ControlCommand command) {
        return state.apply(++index, 0, validated(command));
    }

    private static ValidatedCommand validated(ControlCommand command) {
        return CODEC.decodeCommand(CODEC.encode(ValidatedCommand.validate(command, RESOLVER)));
    }

    private static ControlCommand.PutRecord put(String changeId, RecordKey key, long expected) {
        return new ControlCommand.PutRecord(
                changeId, "op", key, expected, 1, 1, accountBody(), false);
    }

    private static ControlCommand stop(String changeId, String id) {
        RecordKey key = new RecordKey("stop", "instance:" + id);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        return new ControlCommand.PutRecord(changeId, "op", key, 0, 1, 1, body, false);
    }

    private static ControlCommand evict(InstanceRef ref) {
        return new ControlCommand.EvictInstances(List.of(ref), "test");
    }

    private static ControlCommand join(
            String id, int readerVersion, String joinId, String peerAddress) {
        InstanceRef ref = new InstanceRef(InstanceId.of(id), 1);
        InstanceInfo info = new InstanceInfo(ref, "az1", "r1", peerAddress, "h:1", readerVersion);
        return new ControlCommand.JoinInstance(info, joinId, Optional.empty());
    }

    private static ObjectNode accountBody() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("keyHash", "sha256$00$" + "ab".repeat(32));
        return body;
    }
}

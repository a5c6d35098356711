package io.sapphirestack.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.control.MembershipEvent.Evicted;
import io.sapphirestack.core.control.MembershipEvent.Joined;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the rules by which all instances with a copy compute the same owner. */
class ReplicaSetTests {

    private static final InstanceRef A = ref("a", 1);
    private static final InstanceRef B = ref("b", 1);
    private static final InstanceRef C = ref("c", 1);
    private static final ReplicaSet THREE_ACTIVE_MEMBERS =
            new ReplicaSet(5, 5, List.of(A, B, C), 3, List.of());

    /** Guards against a new epoch when only a replica is evicted. */
    @Test
    void evictionOfAReplicaKeepsOwnerAndEpoch() {
        ReplicaSet set = THREE_ACTIVE_MEMBERS.apply(List.of(new Evicted(6, List.of(B), "t")));

        assertThat(set.members()).containsExactly(A, C);
        assertThat(set.epoch()).isEqualTo(5);
        assertThat(set.asOf()).isEqualTo(6);
    }

    /** Guards against two owners when the owner and the first replica are evicted together. */
    @Test
    void firstRemainingMemberTakesOver() {
        ReplicaSet set = THREE_ACTIVE_MEMBERS.apply(List.of(new Evicted(6, List.of(A, B), "t")));

        assertThat(set.owner()).contains(C);
        assertThat(set.epoch()).isEqualTo(6);
    }

    /**
     * Guards against a second output. A member that never became active may lack tokens that an
     * earlier owner delivered, so it must not take over when it rejoins.
     */
    @Test
    void memberThatWasNeverActiveDoesNotTakeOverWhenItRejoins() {
        ReplicaSet growing = new ReplicaSet(5, 5, List.of(A, B, C), 2, List.of());

        ReplicaSet set =
                growing.apply(
                        List.of(
                                new Evicted(6, List.of(A, B, C), "t"),
                                new Joined(7, ref("c", 2), Optional.of(C))));

        assertThat(set.owner()).isEmpty();
        assertThat(set.pending()).containsExactly(A, B);
    }

    /** Guards against a result that depends on how the events are divided into batches. */
    @Test
    void batchesOfEventsGiveTheSameSet() {
        List<MembershipEvent> events =
                List.of(
                        new Evicted(6, List.of(A), "t"),
                        new Evicted(7, List.of(B, C), "t"),
                        new Joined(8, ref("c", 2), Optional.of(C)),
                        new Joined(9, ref("b", 2), Optional.of(B)));

        ReplicaSet atOnce = THREE_ACTIVE_MEMBERS.apply(events);

        for (int cut = 0; cut <= events.size(); cut++) {
            assertThat(THREE_ACTIVE_MEMBERS.apply(events.subList(0, cut)).apply(events))
                    .isEqualTo(atOnce);
        }
        assertThat(atOnce.owner()).contains(ref("c", 2));
        assertThat(atOnce.epoch()).isEqualTo(8);
    }

    /**
     * Guards against a takeover by a process that has restarted, or by a member that was evicted
     * before the last ones and may lack later tokens.
     */
    @Test
    void onlyALastMemberWithRetainedMemoryEndsPendingOwnership() {
        ReplicaSet pending =
                THREE_ACTIVE_MEMBERS.apply(
                        List.of(
                                new Evicted(6, List.of(A), "t"),
                                new Evicted(7, List.of(B, C), "t"),
                                new Joined(8, ref("b", 2), Optional.empty()),
                                new Joined(9, ref("a", 2), Optional.of(A))));

        assertThat(pending.owner()).isEmpty();
        assertThat(pending.pending()).containsExactly(B, C);
    }

    /** Guards against an owner that stays in the list after its process has restarted. */
    @Test
    void joinReplacesTheEarlierIncarnation() {
        ReplicaSet set =
                THREE_ACTIVE_MEMBERS.apply(List.of(new Joined(6, ref("a", 2), Optional.empty())));

        assertThat(set.members()).containsExactly(B, C);
        assertThat(set.epoch()).isEqualTo(6);
    }

    /** Guards against copies in one availability zone, or in another region, without need. */
    @Test
    void replicasPreferOtherAvailabilityZonesOfTheSameRegion() {
        InstanceInfo owner = info("o", "az1", "r1");
        List<InstanceInfo> fleet =
                List.of(
                        owner,
                        info("p", "az1", "r1"),
                        info("q", "az5", "r2"),
                        info("r", "az2", "r1"),
                        info("s", "az3", "r1"),
                        info("t", "az2", "r1"));

        for (int i = 0; i < 50; i++) {
            GenerationId id = GenerationIds.create(owner.ref(), i, i);
            List<InstanceInfo> chosen = ReplicaPlacement.choose(id, owner, fleet, Set.of(), 2);
            assertThat(chosen)
                    .extracting(InstanceInfo::availabilityZone)
                    .containsExactlyInAnyOrder("az2", "az3");
        }
    }

    /** Guards against instances that choose different holders of a key from the same view. */
    @Test
    void keyHoldersDoNotDependOnTheOrderOfTheInstances() {
        List<InstanceInfo> fleet =
                List.of(info("a", "z", "r"), info("b", "z", "r"), info("c", "z", "r"));
        List<InstanceInfo> reversed = List.of(fleet.get(2), fleet.get(1), fleet.get(0));
        AccountId account = AccountId.of("acme");

        assertThat(ReplicaPlacement.chooseKeyHolders(account, "k", fleet))
                .hasSize(2)
                .isEqualTo(ReplicaPlacement.chooseKeyHolders(account, "k", reversed));
    }

    /** Guards against identifiers from which the accepting instance cannot be extracted. */
    @ParameterizedTest
    @ValueSource(strings = {"i1", "rack-7-host-12", "a.b_c"})
    void identifierContainsTheAcceptingInstance(String name) {
        InstanceRef owner = ref(name, 42);

        GenerationId id = GenerationIds.create(owner, 7, -1);

        assertThat(GenerationIds.acceptingInstance(id)).contains(owner);
        assertThat(id.value()).endsWith("-ffffffffffffffff");
    }

    /** Guards against extracting an instance from an identifier with another format. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "g-i1-1-1", "g-i1-0-1-0000000000000000", "g-i1-1-1-00"})
    void identifierWithAnotherFormatContainsNoInstance(String text) {
        assertThat(GenerationIds.acceptingInstance(GenerationId.of(text))).isEmpty();
    }

    private static InstanceRef ref(String name, long incarnation) {
        return new InstanceRef(InstanceId.of(name), incarnation);
    }

    private static InstanceInfo info(String name, String zone, String region) {
        return new InstanceInfo(ref(name, 1), zone, region, name, name, 1);
    }
}

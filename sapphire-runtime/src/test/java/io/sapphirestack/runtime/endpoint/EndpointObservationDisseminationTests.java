package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.quarantine.CrashEvidence;
import io.sapphirestack.core.quarantine.CrashHistory;
import io.sapphirestack.core.quarantine.CrashReport;
import io.sapphirestack.core.version.VersionCounts;
import io.sapphirestack.core.version.VersionCountsTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against crash reports and rate limits that stay with the instances that observed them.
 * Calls that fail, membership views that differ and restarts cause such faults.
 */
class EndpointObservationDisseminationTests extends AbstractDisseminationTests {
    /** Longest hold of an instance that has joined, in milliseconds. */
    private static final long HOLD_MS = 1_000;

    /** Views differ and calls fail while reports are made; an instance restarts without them. */
    @Property(seed = "2713", tries = 20)
    void crashReportsReachEveryInstanceAlsoAfterARestart(
            @ForAll @IntRange(min = 2, max = 15) int count, @ForAll long seed) {
        random = new Random(seed);
        startMembers(count);
        for (int step = 0; step < 20; step++) {
            failurePercent = random.nextInt(60);
            List<Member> view = new ArrayList<>(members);
            view.removeIf(m -> random.nextInt(4) == 0);
            members.get(random.nextInt(count)).setMembershipView(view);
            CrashReport report =
                    new CrashReport(step, nowMs, nowMs, List.of(1L, step + 2L), (short) 0);
            CrashEvidence crashes = members.get(random.nextInt(count)).crashes;
            crashes.reports().merge(List.of(report));
            crashes.histories().merge(List.of(history(step)));
            runRound();
        }
        failurePercent = 0;
        Member restarted = new Member(count);
        members.set(0, restarted);
        byAddress.put(restarted.info.peerAddress(), restarted);
        members.forEach(m -> m.setMembershipView(members));
        for (int i = 0; i < 20; i++) {
            runRound();
        }
        CrashEvidence expected = restarted.crashes;
        for (Member member : members) {
            assertThat(member.crashes.reports().changedSince(0))
                    .containsExactlyInAnyOrderElementsOf(expected.reports().changedSince(0));
            assertThat(member.crashes.histories().changedSince(0))
                    .containsExactlyInAnyOrderElementsOf(expected.histories().changedSince(0));
        }
        assertThat(expected.reports().changedSince(0)).hasSizeGreaterThan(count > 4 ? 10 : 0);
        assertThat(expected.histories().changedSince(0)).hasSizeGreaterThan(count > 4 ? 10 : 0);
    }

    private CrashHistory history(long fingerprint) {
        return new CrashHistory(
                fingerprint, 0, List.of(new CrashHistory.Crash(1, nowMs - 20, nowMs)));
    }

    /** Guards against a request that is retried elsewhere before its crash is known there. */
    @Example
    void crashIsSentToTheNeighboursBeforeTheNextTick() {
        startMembers(3);
        runRound();
        members.get(0).crashes.histories().merge(List.of(history(7)));
        members.get(0).dissemination.sendCrashes();
        deliver();
        assertThat(members.get(1).crashes.histories().changedSince(0)).hasSize(1);
        assertThat(members.get(2).crashes.histories().changedSince(0)).hasSize(1);
    }

    /** Guards against an endpoint that left and is used again by an instance that restarts. */
    @Example
    void oldAnnouncementIsNotUsedBeforeTheFirstExchange() {
        restartWithOldAnnouncement(1);
    }

    /** A late announcement gets a sequence above those that the other instances know. */
    @Example
    void lateAnnouncementWithANewerSequenceIsNotUsedAfterTheFirstExchange() {
        restartWithOldAnnouncement(50);
    }

    /** On a busy machine an instance may join later than the hold lasts for one that has joined. */
    @Example
    void lateAnnouncementIsNotUsedByAnInstanceThatJoinsLate() {
        Member restarted = restartAfterAnEndpointHasLeft();
        announce(restarted, "e1", 5, 50, "v1");
        nowMs += 5 * HOLD_MS;
        restarted.registry.tick();
        assertThat(restarted.table.read().ofService("scribe")).isEmpty();

        joinAll();

        assertThat(restarted.table.read().byId()).hasSize(1);
        assertThat(restarted.table.read().ofService("scribe")).isEmpty();
    }

    private void restartWithOldAnnouncement(long sequence) {
        Member restarted = restartAfterAnEndpointHasLeft();
        announce(restarted, "e1", 5, sequence, "v1");
        assertThat(restarted.table.read().ofService("scribe")).isEmpty();
        joinAll();
        assertThat(restarted.table.read().byId()).hasSize(1);
        assertThat(restarted.table.read().ofService("scribe")).isEmpty();
    }

    private Member restartAfterAnEndpointHasLeft() {
        startMembers(3);
        announce(members.get(1), "e1", 5, 1, "v1");
        runRound();
        members.get(1).registry.recordEnd(EndpointId.of("e1"), OptionalLong.of(5));
        runRound();
        Member restarted = new Member(0);
        members.set(0, restarted);
        byAddress.put(restarted.info.peerAddress(), restarted);
        restarted.registry.holdUntilFirstExchange(HOLD_MS);
        return restarted;
    }

    private void joinAll() {
        members.forEach(m -> m.setMembershipView(members));
        runRound();
        runRound();
    }

    @Example
    void announcementsAreUsedAfterTheHoldIfNoInstanceResponds() {
        startMembers(2);
        Member cutOff = members.get(0);
        cutOff.registry.holdUntilFirstExchange(HOLD_MS);
        failurePercent = 100;
        runRound();
        announce(cutOff, "e1", 5, 1, "v1");
        assertThat(cutOff.table.read().ofService("scribe")).isEmpty();
        nowMs += HOLD_MS;
        cutOff.registry.tick();
        assertThat(cutOff.table.read().ofService("scribe")).hasSize(1);
    }

    /** Guards against limits that only the instances that received them keep. */
    @Example
    void lowestRateLimitOfAnEndpointReachesEveryInstanceAndEnds() {
        startMembers(9);
        members.get(8).rateLimits = Map.of(1, 5_000, 2, 0);
        members.get(3).rateLimits = Map.of(1, 4_000);
        for (int i = 0; i < 10; i++) {
            runRound();
        }
        assertThat(members.get(0).parts.rateLimits().read().of(1)).hasValue(4_000);
        assertThat(members.get(3).parts.rateLimits().read().of(1)).hasValue(5_000);
        assertThat(members.get(5).parts.rateLimits().read().of(2)).hasValue(0);
        members.forEach(member -> member.rateLimits = Map.of());
        for (int i = 0; i < 10; i++) {
            runRound();
        }
        members.forEach(m -> assertThat(m.parts.rateLimits().read().isEmpty()).isTrue());
    }

    /** Guards against a bad version that no instance alone can tell from a good one. */
    @Example
    void countsOfAVersionAreSummedOverAllOtherInstances() {
        startMembers(9);
        members.forEach(m -> m.versionCounts = Map.of(5, new VersionCounts(70_000, 1, 2, 3, 4, 5)));
        for (int i = 0; i < 10; i++) {
            runRound();
        }
        VersionCounts sum = members.get(4).parts.versionCounts().read().of(5);
        assertThat(sum.newRequests()).isEqualTo(8 * 3);
        assertThat(sum.newSlow()).isEqualTo(8 * 5);
        members.forEach(m -> m.versionCounts = Map.of());
        for (int i = 0; i < 10; i++) {
            runRound();
        }
        members.forEach(
                m ->
                        assertThat(m.parts.versionCounts().read())
                                .isEqualTo(VersionCountsTable.EMPTY));
    }
}

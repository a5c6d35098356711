package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointAnnouncement;
import io.sapphirestack.core.membership.EndpointPhase;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an acknowledged announcement that no other instance learns: the others went on
 * using an endpoint that had announced its leave to an instance outside of the fleet (review/9).
 */
@Timeout(30)
class AnnouncementServiceTests extends AbstractDisseminationTests {

    private final ExecutorService endpoints = Executors.newSingleThreadExecutor();

    @AfterEach
    void stop() {
        endpoints.shutdownNow();
    }

    private AnnouncementService service(Member member) {
        return new AnnouncementService(member.registry, member.dissemination);
    }

    private static EndpointAnnouncement announcement(EndpointPhase phase) {
        EndpointAnnouncement serving = announcement("e1", 5, 1, "v1", List.of());
        return new EndpointAnnouncement(
                serving.id(),
                serving.service(),
                serving.address(),
                serving.availabilityZone(),
                serving.epochMs(),
                serving.sequence() + phase.ordinal(),
                serving.models(),
                serving.load(),
                serving.cacheEvents(),
                0,
                phase,
                "");
    }

    private void connect(int count) {
        startMembers(count);
        runRound();
        runRound();
    }

    /** Announces while the network delivers; returns the status, 200 if it was acknowledged. */
    private int announce(Member at, EndpointPhase phase) throws Exception {
        Future<Integer> status = endpoints.submit(() -> statusOf(at, phase));
        while (!status.isDone()) {
            deliver();
        }
        return status.get(1, TimeUnit.SECONDS);
    }

    private int statusOf(Member at, EndpointPhase phase) {
        try {
            if (phase == EndpointPhase.GONE) {
                service(at).recordEnd(EndpointId.of("e1"), OptionalLong.empty());
            } else {
                service(at).receive(announcement(phase), KEY);
            }
            return 200;
        } catch (RefusedException e) {
            return e.refusal().status();
        }
    }

    @ParameterizedTest
    @EnumSource(EndpointPhase.class)
    void instanceOutsideOfTheFleetDoesNotAcknowledge(EndpointPhase phase) throws Exception {
        connect(2);
        announce(members.get(0), EndpointPhase.SERVING);
        members.get(0).setMembershipView(List.of(members.get(1)));
        runRound();

        assertThat(announce(members.get(0), phase)).isEqualTo(503);
    }

    @ParameterizedTest
    @EnumSource(EndpointPhase.class)
    void instanceThatIsCutOffDoesNotAcknowledge(EndpointPhase phase) throws Exception {
        connect(3);
        announce(members.get(0), EndpointPhase.SERVING);
        failurePercent = 100;
        members.get(0).inFlight = 1;
        runRound();

        assertThat(announce(members.get(0), phase)).isEqualTo(503);
    }

    /** What was refused is passed on as soon as that is possible, so nothing is lost. */
    @Test
    void refusedAnnouncementIsPassedOnLater() throws Exception {
        connect(2);
        announce(members.get(0), EndpointPhase.SERVING);
        runRound();
        failurePercent = 100;
        assertThat(announce(members.get(0), EndpointPhase.DRAINING)).isEqualTo(503);

        failurePercent = 0;
        runRound();
        runRound();

        assertThat(phaseAt(1)).isEqualTo(EndpointPhase.DRAINING);
    }

    /** The instance may end right after the acknowledgement, before its next batch. */
    @ParameterizedTest
    @EnumSource(names = {"DRAINING", "GONE"})
    void leaveIsKnownToANeighbourWhenItIsAcknowledged(EndpointPhase phase) throws Exception {
        connect(3);
        assertThat(announce(members.get(0), EndpointPhase.SERVING)).isEqualTo(200);
        runRound();

        assertThat(announce(members.get(0), phase)).isEqualTo(200);

        assertThat(List.of(phaseAt(1), phaseAt(2))).contains(phase);
    }

    @ParameterizedTest
    @EnumSource(EndpointPhase.class)
    void onlyInstanceOfAFleetAcknowledges(EndpointPhase phase) throws Exception {
        connect(1);
        announce(members.get(0), EndpointPhase.SERVING);

        assertThat(announce(members.get(0), phase)).isEqualTo(200);
    }

    private EndpointPhase phaseAt(int number) {
        return members.get(number)
                .table
                .read()
                .find(EndpointId.of("e1"))
                .map(endpoint -> endpoint.phase())
                .orElseThrow();
    }
}

package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.routing.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against placing all work at one endpoint, retrying in a failed availability zone, and
 * keeping a standby copy in the same availability zone as its stream.
 */
class RelayPlacementTests {

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final EndpointHealth health = new EndpointHealth(nowMs::get);
    private final Map<EndpointId, Integer> requestsInFlight = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(7);
    private final RelayPlacement placement =
            new RelayPlacement(
                    "z1",
                    endpoint -> requestsInFlight.getOrDefault(endpoint.id(), 0),
                    health,
                    random::nextDouble,
                    () -> 1,
                    CompletionEstimator.byWorkInFlight());

    private static EndpointState endpoint(String id, String zone) {
        return new EndpointState(
                EndpointId.of(id),
                "scribe",
                "10.0.0.1:" + id.hashCode(),
                zone,
                1,
                Set.of(),
                new EndpointLoad(0, 0, 8, 0),
                0);
    }

    private static List<EndpointState> fleet() {
        List<EndpointState> all = new ArrayList<>();
        for (String zone : List.of("z1", "z2", "z3")) {
            for (int i = 0; i < 4; i++) {
                all.add(endpoint(zone + "-" + i, zone));
            }
        }
        return all;
    }

    @Test
    void workIsDistributedOverAllEndpoints() {
        List<EndpointState> fleet = fleet();
        for (int i = 0; i < 48; i++) {
            EndpointState chosen =
                    placement.choose(RelayWorkKind.REQUEST, fleet, List.of()).orElseThrow();
            requestsInFlight.merge(chosen.id(), 1, Integer::sum);
        }
        assertThat(requestsInFlight.values()).allMatch(count -> count >= 3 && count <= 5);
    }

    @Test
    void suspectedEndpointIsAvoidedExceptForOneProbe() {
        List<EndpointState> two = List.of(endpoint("e1", "z1"), endpoint("e2", "z1"));
        health.recordUnreachable(EndpointId.of("e1"));
        requestsInFlight.put(EndpointId.of("e2"), 100);
        assertThat(
                        placement
                                .choose(RelayWorkKind.REQUEST, two, List.of())
                                .orElseThrow()
                                .id()
                                .value())
                .isEqualTo("e2");
        nowMs.addAndGet(EndpointHealth.INITIAL_SUSPICION_MS + 1);
        assertThat(
                        placement
                                .choose(RelayWorkKind.REQUEST, two, List.of())
                                .orElseThrow()
                                .id()
                                .value())
                .isEqualTo("e1");
        health.recordSelection(EndpointId.of("e1"));
        assertThat(
                        placement
                                .choose(RelayWorkKind.REQUEST, two, List.of())
                                .orElseThrow()
                                .id()
                                .value())
                .isEqualTo("e2");
    }

    @Test
    void zoneInWhichRequestFailedIsUsedLast() {
        List<EndpointState> fleet = fleet();
        for (int i = 0; i < 20; i++) {
            EndpointState next =
                    placement
                            .choose(RelayWorkKind.REQUEST, fleet, List.of(fleet.get(0)))
                            .orElseThrow();
            assertThat(next.availabilityZone()).isNotEqualTo("z1");
        }
    }

    @Test
    void onlyEndpointIsUsedEvenIfItFailed() {
        EndpointState only = endpoint("e1", "z1");
        health.recordUnreachable(only.id());
        assertThat(placement.choose(RelayWorkKind.REQUEST, List.of(only), List.of(only)))
                .contains(only);
        assertThat(placement.choose(RelayWorkKind.REQUEST, List.of(), List.of())).isEmpty();
    }

    @Test
    void standbyIsInAnotherZone() {
        List<EndpointState> fleet = fleet();
        EndpointState running = fleet.get(5);
        for (int i = 0; i < 20; i++) {
            assertThat(placement.chooseStandby(fleet, running, List.of()).orElseThrow())
                    .matches(e -> !e.availabilityZone().equals(running.availabilityZone()));
        }
        assertThat(placement.chooseStandby(fleet.subList(4, 8), running, List.of())).isEmpty();
    }
}

package io.sapphirestack.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.admission.PlainAdmission.Decision;
import io.sapphirestack.core.admission.ServiceCapacity.Estimate;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.InFlightTracker;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusals of requests that can be served, and against reports that starve one. */
class PlainAdmissionTests {

    private static final long WORK_MS = 40;

    private static EndpointState endpoint(String id) {
        EndpointLoad load = new EndpointLoad(0, 0, 6, 0);
        return new EndpointState(EndpointId.of(id), "s", "a:1", "z", 1, Set.of(), load, 0);
    }

    @ParameterizedTest
    @CsvSource({
        // target in ms, deadline in ms, start in ms, end in ms, random, decision
        "200, 1500, 0, 400, 0.9, SEND", "200, 1500, 100, 200, 0.9, SEND",
        "200, 1500, 100, 201, 0.9, REFUSE_LATE", "200, 1500, 100, 201, 0.04, SEND_LATE",
        "-50, 900, 100, 140, 0.9, REFUSE_LATE", "-50, 900, 0, 40, 0.9, SEND",
        "200, 150, 120, 160, 0.9, REFUSE_HOPELESS", "-50, 100, 90, 130, 0.9, REFUSE_HOPELESS",
    })
    void lateRequestsAreRefusedWhileNoSlotIsFree(
            long targetInMs,
            long deadlineInMs,
            double startInMs,
            double endInMs,
            double random,
            Decision expected) {
        Estimate estimate = new Estimate(0, startInMs, endInMs, 0);
        assertThat(new PlainAdmission(() -> random).decide(targetInMs, deadlineInMs, estimate))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"1500, 200, 0, 200", "1500, 200, 0.5, 300", "300, 200, 0.5, 100", "90, 1, 0, 100"})
    void callerReturnsWhenTheBacklogHasStartedAndHonoursTheTime(
            long deadlineInMs, double startInMs, double random, long expectedMs) {
        Estimate estimate = new Estimate(0, startInMs, startInMs + WORK_MS, 0);
        assertThat(new PlainAdmission(() -> random).retryAfterMs(deadlineInMs, estimate))
                .isEqualTo(expectedMs);
    }

    private static Optional<Estimate> estimate(
            InFlightTracker tracker, Map<EndpointId, ObservedLoad> loads) {
        ServiceCapacity capacity =
                new ServiceCapacity(
                        e -> Optional.ofNullable(loads.get(e.id())), tracker, 1_000, () -> 5_000);
        return capacity.estimate(List.of(endpoint("a"), endpoint("b")), WORK_MS);
    }

    @Test
    void estimateIsThatOfTheBestEndpointAndCountsOwnRequestsSinceTheReport() {
        InFlightTracker tracker = new InFlightTracker(() -> 5_000);
        ObservedLoad slow = new ObservedLoad(6, 6, 6, OptionalInt.of(250), 20);
        ObservedLoad full = new ObservedLoad(6, 5, 6, OptionalInt.of(100), 30);
        Map<EndpointId, ObservedLoad> loads =
                Map.of(EndpointId.of("a"), slow, EndpointId.of("b"), full);
        assertThat(estimate(tracker, loads)).hasValue(new Estimate(0, 40, 80, 30));
        tracker.begin(EndpointId.of("b"));
        tracker.begin(EndpointId.of("b"));
        tracker.begin(EndpointId.of("b"));
        assertThat(estimate(tracker, loads)).hasValue(new Estimate(0, 60, 100, 30));
    }

    @Test
    void oneEndpointWithoutRecentReportPreventsRefusals() {
        InFlightTracker tracker = new InFlightTracker(() -> 5_000);
        ObservedLoad full = new ObservedLoad(6, 5, 6, OptionalInt.of(100), 30);
        ObservedLoad stale = new ObservedLoad(6, 5, 6, OptionalInt.of(100), 1_001);
        EndpointId first = EndpointId.of("a");
        assertThat(estimate(tracker, Map.of(first, full))).isEmpty();
        assertThat(estimate(tracker, Map.of(first, full, EndpointId.of("b"), stale))).isEmpty();
    }
}

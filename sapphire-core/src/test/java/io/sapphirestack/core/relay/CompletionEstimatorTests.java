package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.routing.EndpointState;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against costs that depend on stale reports, and against speeds of other kinds of work. */
class CompletionEstimatorTests {

    private static final EndpointState E1 = endpoint("e1");
    private static final EndpointState E2 = endpoint("e2");

    private final EndpointSpeeds speeds = new EndpointSpeeds();

    private static EndpointState endpoint(String id) {
        return new EndpointState(
                EndpointId.of(id),
                "s",
                id + ":1",
                "z1",
                1,
                Set.of(),
                new EndpointLoad(0, 0, 8, 0),
                0);
    }

    private static double cost(Optional<ObservedLoad> load, double slowdown) {
        return new CompletionEstimator(e -> load, e -> slowdown).cost(E1, 4, 0.5);
    }

    private static Optional<ObservedLoad> load(int running, OptionalInt pace, long ageMs) {
        return Optional.of(new ObservedLoad(running, 0, 8, pace, ageMs));
    }

    @Test
    void endpointWithoutPaceIsPlacedByWorkInFlight() {
        assertThat(cost(Optional.empty(), 1)).isCloseTo(4.5 / 8, within(1e-9));
        assertThat(cost(load(8, OptionalInt.empty(), 0), 1)).isCloseTo(4.5 / 8, within(1e-9));
    }

    @ParameterizedTest
    @CsvSource({"4, 250, 0, 1", "8, 100, 0, 1", "4, 100, 0, 1.5"})
    void slowOrFullEndpointCostsMore(int running, int pace, long ageMs, double slowdown) {
        assertThat(cost(load(running, OptionalInt.of(pace), ageMs), slowdown))
                .isGreaterThan(cost(load(4, OptionalInt.of(100), 0), 1) + 0.3);
    }

    @Test
    void oldReportHasNoEffect() {
        assertThat(cost(load(8, OptionalInt.of(250), 60_000), 1)).isCloseTo(4.5 / 8, within(1e-6));
    }

    @Test
    void speedIsLearnedFromDurations() {
        for (int i = 0; i < 3_000; i++) {
            speeds.record(E1, 100);
            speeds.record(E2, 200);
        }
        double ratio = speeds.slowdown(E2) / speeds.slowdown(E1);
        assertThat(ratio).isBetween(1.6, 2.1);
        assertThat(speeds.slowdown(endpoint("e3"))).isEqualTo(1);
        speeds.retain(List.of(E1));
        assertThat(speeds.slowdown(E2)).isEqualTo(1);
    }

    @Test
    void durationsOfOtherKindsOfWorkDoNotCount() {
        for (int i = 0; i < 50; i++) {
            speeds.record(E1, 1_500);
            speeds.record(E2, 1_500);
        }
        for (int i = 0; i < 5; i++) {
            speeds.record(E2, 40);
        }
        assertThat(speeds.slowdown(E2)).isCloseTo(1, within(0.02));
    }
}

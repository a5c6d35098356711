package io.sapphirestack.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.RecordSpecResolver;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.record.RolloutState;
import io.sapphirestack.core.routing.EndpointState;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a repeated order that is refused or starts a second rollout, against an order that
 * takes the endpoints of the only version in use, and against endpoints of a version that must not
 * be used.
 */
class RolloutOrderTests {

    private static final RolloutOrder ORDER = new RolloutOrder("s", "v2", 1_000);

    private static RolloutSpec rollout(RolloutState state) {
        RolloutSpec started = ORDER.start(Optional.empty(), 0);
        return switch (state) {
            case IN_PROGRESS -> started;
            case ADOPTED -> started.ended(state, "good", List.of("v1"), 500);
            case WITHDRAWN -> started.ended(state, "bad", List.of("v2"), 500);
        };
    }

    @ParameterizedTest
    @CsvSource({
        "IN_PROGRESS, v2, 1000, 999, REPEATED",
        "IN_PROGRESS, v2, 1000, 5000, REPEATED",
        "IN_PROGRESS, v2, 2000, 10, CONFLICT",
        "IN_PROGRESS, v3, 1000, 10, CONFLICT",
        "WITHDRAWN, v2, 1000, 999, REPEATED",
        "WITHDRAWN, v2, 1000, 1000, START",
        "WITHDRAWN, v3, 1000, 600, START",
        "ADOPTED, v2, 1000, 5000, REPEATED",
        "ADOPTED, v2, 2000, 600, REPEATED",
        "ADOPTED, v1, 1000, 600, START"
    })
    void orderAfterAnotherIsARepeatAConflictOrANewStart(
            RolloutState state,
            String version,
            long periodMs,
            long nowMs,
            RolloutOrder.Decision expected) {
        RolloutOrder order = new RolloutOrder("s", version, periodMs);
        assertThat(order.decide(Optional.of(rollout(state)), nowMs)).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "IN_PROGRESS, 0.1, 0.05, v2",
        "IN_PROGRESS, 0.1, 0.1, v0 v1",
        "IN_PROGRESS, 0, 0, v0 v1",
        "WITHDRAWN, 1, 0, v0 v1",
        "ADOPTED, 0, 0.9, v0 v2"
    })
    void requestUsesOnlyVersionsThatItMay(
            RolloutState state, double share, double fraction, String expected) {
        List<EndpointState> endpoints =
                Stream.of("v0", "v1", "v2").map(RolloutOrderTests::endpoint).toList();
        String chosen =
                VersionChoice.choose(rollout(state), endpoints, share, fraction).stream()
                        .map(EndpointState::version)
                        .collect(Collectors.joining(" "));
        assertThat(chosen).isEqualTo(expected);
    }

    private static EndpointState endpoint(String version) {
        return new EndpointState(
                EndpointId.of("e-" + version),
                "s",
                "10.0.0.1:1",
                "z1",
                1,
                Set.of(),
                EndpointLoad.NONE,
                EndpointPhase.SERVING,
                0,
                version);
    }

    /** All processes may be lost, so the record must hold everything that a rollout needs. */
    @ParameterizedTest
    @EnumSource(RolloutState.class)
    void rolloutIsReadFromItsRecord(RolloutState state) {
        RolloutSpec rollout = rollout(state);
        JsonNode body = rollout.toBody();
        RecordKey key = new RecordKey(RolloutSpec.KIND, "s");
        RecordSpecResolver resolver = new RecordSpecResolver();

        assertThat(resolver.validate(key, 1, 1, body)).isEmpty();
        assertThat(resolver.rollout(new ConfigRecord(key, 1, 1, 7, "c", "o", body)))
                .contains(rollout);
    }

    @ParameterizedTest
    @CsvSource({"true, ADOPTED", "false, WITHDRAWN"})
    void deadlineWithoutEvidenceDecidesByTheEndpointsOfTheVersion(
            boolean present, RolloutState expected) {
        Optional<RolloutSpec> next =
                RolloutEvaluation.next(
                        rollout(RolloutState.IN_PROGRESS),
                        new RolloutEvidence(1_000, 0.01),
                        new RolloutEvaluation.KnownEndpoints(present, List.of("v1")),
                        1_000);
        assertThat(next.map(RolloutSpec::state)).contains(expected);
    }
}

package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.routing.EndpointState;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to endpoints that want none, and against state of earlier processes. */
class EndpointSignalTableTests {

    private static final EndpointState E1 = endpoint("e1", 1);
    private static final EndpointState E2 = endpoint("e2", 1);

    private final AtomicLong nowMs = new AtomicLong(-5_000);
    private final SplittableRandom random = new SplittableRandom(7);
    private final EndpointSignalTable table =
            new EndpointSignalTable(
                    EndpointSignalTable.Settings.DEFAULT, random::nextDouble, nowMs::get);

    private static EndpointState endpoint(String id, long epochMs) {
        return new EndpointState(
                EndpointId.of(id), "s", "h:1", "z1", epochMs, Set.of(), EndpointLoad.NONE, 0);
    }

    private static EndpointSignals backoff(long backoffMs) {
        return new EndpointSignals(Optional.empty(), false, OptionalLong.of(backoffMs), Set.of());
    }

    private static EndpointSignals leaving() {
        return new EndpointSignals(Optional.empty(), true, OptionalLong.empty(), Set.of());
    }

    private static EndpointSignals load(int running) {
        return new EndpointSignals(
                Optional.of(new ReportedLoad(running, 0, 6, OptionalInt.of(250))),
                false,
                OptionalLong.empty(),
                Set.of());
    }

    @Test
    void leavingProcessIsUsedNoMoreButItsSuccessorIs() {
        assertThat(table.record(E1, leaving()).leavingBegan()).isTrue();
        assertThat(table.record(E1, load(1)).leavingBegan()).isFalse();
        EndpointState successor = endpoint("e1", 2);
        assertThat(table.available(List.of(E1, E2, successor))).containsExactly(E2, successor);
        nowMs.addAndGet(1_000_000);
        table.retain(List.of(E1, E2));
        assertThat(table.available(List.of(E1))).isEmpty();
        assertThat(table.load(successor)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"2000,2000", "3600000,30000"})
    void endpointInBackoffIsUsedAgainAfterItsBoundedEnd(long namedMs, long boundedMs) {
        assertThat(table.record(E1, backoff(namedMs)).backoffBeganMs()).hasValue(boundedMs);
        assertThat(table.record(E1, backoff(1)).backoffBeganMs()).isEmpty();
        nowMs.addAndGet(boundedMs - 1);
        assertThat(table.available(List.of(E1))).isEmpty();
        assertThat(table.retryAfterMs(List.of(E1)))
                .hasValue(EndpointSignalTable.MIN_RETRY_AFTER_MS);
        nowMs.addAndGet(1);
        assertThat(table.available(List.of(E1))).containsExactly(E1);
    }

    @Test
    void shareIsRestoredInSteps() {
        table.record(E1, backoff(1_000));
        nowMs.addAndGet(1_000);
        double previousShare = 0;
        for (int step = 0; step < 4; step++) {
            int selected = 0;
            for (int i = 0; i < 1_000; i++) {
                selected += table.available(List.of(E1, E2)).contains(E1) ? 1 : 0;
            }
            double share = selected / 1_000.0;
            assertThat(share).isGreaterThan(previousShare + 0.1 - 0.05).isLessThanOrEqualTo(1);
            previousShare = share;
            nowMs.addAndGet(EndpointSignalTable.RECOVERY_STEP_MS);
        }
        assertThat(previousShare).isEqualTo(1);
        table.retain(List.of(E1, E2));
        assertThat(table.available(List.of(E1, E2))).containsExactly(E1, E2);
    }

    @Test
    void refusedCallersReturnAfterTheEarliestEndAtDifferentTimes() {
        table.record(E1, backoff(8_000));
        table.record(E2, backoff(4_000));
        Set<Long> times = new java.util.HashSet<>();
        for (int i = 0; i < 20; i++) {
            times.add(table.retryAfterMs(List.of(E1, E2)).orElseThrow());
        }
        assertThat(times).allMatch(ms -> ms >= 4_000 && ms <= 5_000).hasSizeGreaterThan(10);
        table.record(E1, leaving());
        assertThat(table.retryAfterMs(List.of(E1))).isEmpty();
    }

    @Test
    void loadHasItsAge() {
        table.record(E1, load(4));
        nowMs.addAndGet(300);
        table.record(E1, backoff(10));
        assertThat(table.load(E1)).contains(new ObservedLoad(4, 0, 6, OptionalInt.of(250), 300));
        assertThat(table.load(E2)).isEmpty();
    }

    @Test
    void malformedFieldIsReportedOnce() {
        EndpointSignals malformed =
                new EndpointSignals(
                        Optional.empty(),
                        false,
                        OptionalLong.empty(),
                        Set.of(EndpointSignals.Field.LOAD));
        assertThat(table.record(E1, malformed).newlyMalformed()).hasSize(1);
        assertThat(table.record(E1, malformed).newlyMalformed()).isEmpty();
    }

    @Test
    void stateOfProcessesThatAreGoneIsDropped() {
        table.record(E1, leaving());
        nowMs.addAndGet(EndpointSignalTable.RETENTION_MS);
        table.retain(List.of(E2));
        assertThat(table.isBlocked(E1)).isTrue();
        nowMs.addAndGet(1);
        table.retain(List.of(E2));
        assertThat(table.isBlocked(E1)).isFalse();
    }
}

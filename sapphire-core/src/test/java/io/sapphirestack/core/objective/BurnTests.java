package io.sapphirestack.core.objective;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against events that drop out of a window too early or too late, which happens when a
 * bucket of the ring is reused or skipped, and against alerts that do not match the burn rate.
 */
class BurnTests {

    private final AtomicLong nowMs = new AtomicLong(1_000_000_000_000L);
    private final BurnRecorder recorder = new BurnRecorder(nowMs::get);

    @Test
    void oldEventsLeaveTheShortWindowButStayInTheLongOne() {
        recorder.record("ledger", Objective.READ_LATENCY, false, "SAP4001");
        nowMs.addAndGet(600_000);
        recorder.record("ledger", Objective.READ_LATENCY, true, "");

        BurnCount count = recorder.snapshot().get(0);

        assertThat(count.windows().get(BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(1, 0));
        assertThat(count.windows().get(BurnWindow.ONE_HOUR)).isEqualTo(new EventCount(1, 1));
        assertThat(count.causes()).containsExactly(Map.entry("SAP4001", 1L));
    }

    @Test
    void ringReusesBucketsAfterSixHours() {
        recorder.record("ledger", Objective.READ_LATENCY, false, "SAP4001");
        nowMs.addAndGet(BurnWindow.SIX_HOURS.lengthMs() + 60_000);
        recorder.record("ledger", Objective.READ_LATENCY, true, "");

        assertThat(recorder.snapshot().get(0).windows().get(BurnWindow.SIX_HOURS))
                .isEqualTo(new EventCount(1, 0));
    }

    @Property(seed = "42")
    void oneHourWindowCountsExactlyTheEventsOfItsMinutes(
            @ForAll @Size(max = 60) List<@IntRange(max = 900) Integer> gapsS) {
        AtomicLong clock = new AtomicLong(1_000_000_000_000L);
        BurnRecorder recorderUnderTest = new BurnRecorder(clock::get);
        long[] times = new long[gapsS.size()];
        for (int i = 0; i < gapsS.size(); i++) {
            clock.addAndGet(gapsS.get(i) * 1_000L);
            times[i] = clock.get();
            recorderUnderTest.record("s", Objective.RESUME, i % 2 == 0, "SAP2001");
        }
        long firstMinute = clock.get() / 60_000 - 59;
        long expected =
                java.util.Arrays.stream(times).filter(t -> t / 60_000 >= firstMinute).count();

        long counted =
                recorderUnderTest.snapshot().stream()
                        .map(count -> count.windows().get(BurnWindow.ONE_HOUR))
                        .mapToLong(count -> count.good() + count.bad())
                        .sum();

        assertThat(counted).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"0, NONE, 1", "4, NONE, 0.2", "40, SLOW, -7", "80, FAST, -15"})
    void alertFollowsTheBurnRate(int badOfHundred, BurnStatus.Alert alert, double budgetLeft) {
        for (int i = 0; i < 100; i++) {
            recorder.record("scribe", Objective.FIRST_TOKEN, i >= badOfHundred, "SAP2002");
        }

        BurnStatus status = BurnStatus.of(recorder.snapshot().get(0), 0.95);

        assertThat(status.alert()).isEqualTo(alert);
        assertThat(status.budgetLeft()).isCloseTo(budgetLeft, within(1e-9));
    }

    @Test
    void sumOfTwoInstancesAddsWindowsAndCauses() {
        recorder.record("scribe", Objective.RESUME, false, "SAP2002");
        BurnCount single = recorder.snapshot().get(0);

        BurnCount sum = single.plus(single);

        assertThat(sum.windows().get(BurnWindow.SIX_HOURS)).isEqualTo(new EventCount(0, 2));
        assertThat(sum.causes()).containsEntry("SAP2002", 2L);
    }
}

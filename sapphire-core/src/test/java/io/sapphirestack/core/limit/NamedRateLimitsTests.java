package io.sapphirestack.core.limit;

import static io.sapphirestack.core.limit.NamedRateLimits.Change.ENDED;
import static io.sapphirestack.core.limit.NamedRateLimits.Change.NAMED;
import static io.sapphirestack.core.limit.NamedRateLimits.Change.NONE;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a limit that is kept after its endpoint dropped it, or dropped too early. */
class NamedRateLimitsTests {

    private long nowMs = 1_000;
    private final NamedRateLimits limits = new NamedRateLimits(() -> nowMs);

    @ParameterizedTest
    @CsvSource(
            nullValues = "none",
            value = {
                "6.9, 6900",
                "0, 0",
                "12, 12000",
                " 0.0804 , 80",
                "999999, 999999000",
                "1000000, none",
                "-1, none",
                "1e3, none",
                "NaN, none",
                "'', none",
                ".5, none",
            })
    void onlyDecimalNumbersAreLimits(String value, Integer milliPerS) {
        OptionalInt expected = milliPerS == null ? OptionalInt.empty() : OptionalInt.of(milliPerS);
        assertThat(NamedRateLimits.parseMilliPerS(value)).isEqualTo(expected);
    }

    @Test
    void responseWithoutALimitEndsItOnlyIfItsRequestWasSentAfterwards() {
        assertThat(limits.recordLimit(1, 500)).isEqualTo(NAMED);
        nowMs += 10;
        assertThat(limits.recordLimit(1, 500)).isEqualTo(NONE);
        assertThat(limits.recordNoLimit(1, nowMs - 1)).isEqualTo(NONE);
        assertThat(limits.limitOf(1)).hasValue(500);
        assertThat(limits.recordNoLimit(1, nowMs)).isEqualTo(ENDED);
        assertThat(limits.limitOf(1)).isEmpty();
        assertThat(limits.recordNoLimit(1, nowMs)).isEqualTo(NONE);
    }

    @Test
    void limitEndsWhenNoResponseNamesItAnyMore() {
        limits.recordLimit(1, 500);
        nowMs += NamedRateLimits.VALIDITY_MS - 1;
        assertThat(limits.current()).containsEntry(1, 500);
        nowMs++;
        assertThat(limits.limitOf(1)).isEmpty();
        assertThat(limits.current()).isEmpty();
        assertThat(limits.isEmpty()).isTrue();
        assertThat(limits.recordLimit(1, 500)).isEqualTo(NAMED);
    }
}

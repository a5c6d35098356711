package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusing a request that could be served within moments of a start, and against
 * delaying a request that cannot be served.
 */
class StartupGracePeriodTests {

    private static final long STARTED_AT_MS = 10_000;

    private final StartupGracePeriod gracePeriod = new StartupGracePeriod(STARTED_AT_MS);

    @ParameterizedTest
    @CsvSource({
        "10100, 25000, 12100",
        "10100, 1500, 10250",
        "10100, 0, 10100",
        "10100, -5, 10100",
        "12500, 25000, 13000",
        "14000, 25000, 13000"
    })
    void waitIsAFractionOfTheTimeoutAndEndsWithTheGracePeriod(
            long receivedAtMs, long callerTimeoutMs, long waitUntilMs) {
        assertThat(gracePeriod.waitUntilMs(receivedAtMs, callerTimeoutMs)).isEqualTo(waitUntilMs);
    }

    @ParameterizedTest
    @CsvSource({"10000, true", "12999, true", "13000, false"})
    void gracePeriodEndsAfterThreeSeconds(long nowMs, boolean expected) {
        assertThat(gracePeriod.isActive(nowMs)).isEqualTo(expected);
    }
}

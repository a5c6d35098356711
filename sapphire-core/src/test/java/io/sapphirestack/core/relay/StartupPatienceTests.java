package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against refusing what could soon be served, and against holding what cannot. */
class StartupPatienceTests {

    private static final long STARTED_AT_MS = 10_000;

    private final StartupPatience patience = new StartupPatience(STARTED_AT_MS);

    @ParameterizedTest
    @CsvSource({
        "10100, 25000, 12100",
        "10100, 1500, 10250",
        "10100, 0, 10100",
        "10100, -5, 10100",
        "12500, 25000, 13000",
        "14000, 25000, 13000"
    })
    void waitIsAPartOfTheCallersTimeAndEndsWithTheStart(
            long receivedAtMs, long callerMs, long untilMs) {
        assertThat(patience.waitUntilMs(receivedAtMs, callerMs)).isEqualTo(untilMs);
    }

    @ParameterizedTest
    @CsvSource({"10000, true", "12999, true", "13000, false"})
    void startIsOverAfterSomeSeconds(long nowMs, boolean learning) {
        assertThat(patience.isLearning(nowMs)).isEqualTo(learning);
    }
}

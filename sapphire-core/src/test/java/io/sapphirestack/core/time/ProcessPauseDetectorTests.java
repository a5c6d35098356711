package io.sapphirestack.core.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that arrived during a pause of the process and count as new. */
class ProcessPauseDetectorTests {

    private long nowMs = 1_000;
    private final ProcessPauseDetector detector = new ProcessPauseDetector(() -> nowMs);

    private long tickAt(long atMs) {
        nowMs = atMs;
        return detector.tick();
    }

    @ParameterizedTest
    @CsvSource({"1099, 1099", "1499, 1499", "1500, 1000", "6000, 1000"})
    void requestReadBeforeTheFirstTickAfterAPauseMayHaveArrivedAtItsBeginning(
            long readAtMs, long expectedMs) {
        assertEquals(expectedMs, detector.earliestArrivalMs(readAtMs));
    }

    @ParameterizedTest
    @CsvSource({"5000, 1000", "5499, 1000", "5500, 5500"})
    void requestReadSoonAfterAPauseMayHaveArrivedAtItsBeginning(long readAtMs, long expectedMs) {
        assertEquals(4_000, tickAt(5_000));
        assertEquals(0, tickAt(5_100));
        assertEquals(0, tickAt(5_200));
        assertEquals(0, tickAt(5_300));
        assertEquals(0, tickAt(5_400));
        assertEquals(expectedMs, detector.earliestArrivalMs(readAtMs));
    }

    @Test
    void lateTicksAreNoPause() {
        assertEquals(0, tickAt(1_499));
        assertEquals(1_500, detector.earliestArrivalMs(1_500));
    }

    @Test
    void pausesInQuickSuccessionCountFromTheFirst() {
        assertEquals(2_000, tickAt(3_000));
        assertEquals(0, tickAt(3_100));
        assertEquals(1_000, tickAt(4_100));
        assertEquals(1_000, detector.earliestArrivalMs(4_100));
    }

    @Test
    void pauseWithinTheBacklogOfAnotherContinuesIt() {
        assertEquals(2_000, tickAt(3_000));
        assertEquals(500, tickAt(3_500));
        assertEquals(0, tickAt(3_600));
        assertEquals(1_000, detector.earliestArrivalMs(3_600));
    }
}

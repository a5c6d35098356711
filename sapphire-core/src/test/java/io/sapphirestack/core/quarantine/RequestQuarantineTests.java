package io.sapphirestack.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that crash one endpoint after the other, and against a quarantine of
 * sound requests whose endpoints crashed for other reasons.
 */
class RequestQuarantineTests {

    private static final RequestFingerprint REQUEST = new RequestFingerprint(7);
    private static final long RUN_MS = 20;

    private long nowMs = 1_000_000_000;
    private int crashCount;
    private final CrashHistoryTable histories = new CrashHistoryTable(() -> nowMs);
    private final RequestQuarantine quarantine = new RequestQuarantine(histories, () -> nowMs, 1);

    private void crash(RequestFingerprint request) {
        quarantine.recordCrash(EndpointId.of("e" + crashCount++), 1, request, RUN_MS);
    }

    private void crashLater(RequestFingerprint request) {
        nowMs += 1_000;
        crash(request);
    }

    private boolean isRefused(RequestFingerprint request) {
        return quarantine.remainingMs(request).isPresent();
    }

    @Test
    void requestIsRefusedAfterItsSecondCrashAndOthersAreNot() {
        crash(REQUEST);
        assertThat(isRefused(REQUEST)).isFalse();
        nowMs += RUN_MS;
        crash(REQUEST);
        assertThat(isRefused(REQUEST)).isTrue();
        assertThat(isRefused(new RequestFingerprint(8))).isFalse();
        assertThat(quarantine.size()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({
        "2," + RequestQuarantine.FIRST_HOLD_MS,
        "3," + RequestQuarantine.SECOND_HOLD_MS,
        "4," + RequestQuarantine.MAX_HOLD_MS,
        "20," + RequestQuarantine.MAX_HOLD_MS
    })
    void eachCrashMakesTheNextHoldLonger(int crashes, long holdMs) {
        for (int i = 0; i < crashes; i++) {
            crashLater(REQUEST);
        }
        nowMs += holdMs - 1;
        assertThat(isRefused(REQUEST)).isTrue();
        nowMs += holdMs / 2 + 1;
        assertThat(isRefused(REQUEST)).isFalse();
        assertThat(quarantine.size()).isZero();
        crashLater(REQUEST);
        assertThat(isRefused(REQUEST)).isTrue();
    }

    @Test
    void simultaneousCrashesUnderOneUnansweredRequestAllCount() {
        for (int i = 0; i < 4; i++) {
            crash(REQUEST);
        }
        nowMs += RequestQuarantine.FIRST_HOLD_MS * 2;
        assertThat(isRefused(REQUEST)).isTrue();
    }

    @Test
    void repeatedReportsOfOneCrashCountOnce() {
        for (int i = 0; i < 5; i++) {
            quarantine.recordCrash(EndpointId.of("e1"), 1, REQUEST, RUN_MS);
            nowMs += 1_000;
        }
        assertThat(isRefused(REQUEST)).isFalse();
    }

    @Test
    void popularRequestIsServedAfterItsEndpointsCrashedTogether() {
        quarantine.recordAnswer(REQUEST);
        nowMs += 500;
        for (int i = 0; i < 4; i++) {
            crash(REQUEST);
        }
        assertThat(isRefused(REQUEST)).isFalse();
        assertThat(quarantine.recordAnswer(REQUEST)).isTrue();
        assertThat(quarantine.recordAnswer(REQUEST)).isFalse();
        for (int i = 0; i < 4; i++) {
            nowMs += 10;
            crash(REQUEST);
            nowMs += 100;
            quarantine.recordAnswer(REQUEST);
        }
        assertThat(isRefused(REQUEST)).isFalse();
    }

    /**
     * Guards against two requests that were sent before a common crash and count as two crashes
     * because the second was sent within its millisecond. The conversion to the wall clock can make
     * the second one millisecond later.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, CrashAnalysis.MAX_TIME_ERROR_MS})
    void popularRequestIsServedIfItWasSentInTheMillisecondOfACommonCrash(long errorMs) {
        quarantine.recordAnswer(REQUEST);
        nowMs += 500;
        quarantine.recordCrash(EndpointId.of("e1"), 1, REQUEST, RUN_MS);
        nowMs += errorMs;
        quarantine.recordCrash(EndpointId.of("e2"), 1, REQUEST, 0);
        assertThat(isRefused(REQUEST)).isFalse();
    }

    /** Guards against a request that reaches one endpoint more if its retry fails at once. */
    @Test
    void retryInTheMillisecondOfTheCrashThatItFollowsCountsAsALaterCrash() {
        quarantine.recordAnswer(REQUEST);
        nowMs += 500;
        quarantine.recordCrash(EndpointId.of("e1"), 1, REQUEST, RUN_MS);
        quarantine.recordCrash(
                EndpointId.of("e2"),
                1,
                REQUEST,
                nowMs - RequestQuarantine.reportedSentAtMs(nowMs, true));
        assertThat(isRefused(REQUEST)).isTrue();
    }

    @Test
    void requestThatWasAnsweredBeforeIsRefusedAfterCrashesOneAfterTheOther() {
        quarantine.recordAnswer(REQUEST);
        crashLater(REQUEST);
        crashLater(REQUEST);
        assertThat(isRefused(REQUEST)).isTrue();
    }

    @Test
    void answerEndsTheQuarantineAlsoForAnInstanceWhoseClockIsBehind() {
        crashLater(REQUEST);
        crashLater(REQUEST);
        CrashHistoryTable behind = new CrashHistoryTable(() -> nowMs - 30_000);
        behind.merge(histories.changedSince(0));
        behind.recordAnswer(REQUEST.handle());
        histories.merge(behind.changedSince(0));
        assertThat(isRefused(REQUEST)).isFalse();
    }

    @Test
    void requestsThatRanBesideItDoNotDisplaceTheOneThatCrashesEndpoints() {
        crashLater(REQUEST);
        crashLater(REQUEST);
        for (int i = 0; i < 3 * CrashHistoryTable.MAX_HISTORIES; i++) {
            quarantine.recordCrash(
                    EndpointId.of("busy"), 1, new RequestFingerprint(100 + i), RUN_MS);
        }
        assertThat(isRefused(REQUEST)).isTrue();
        assertThat(histories.changedSince(0))
                .hasSizeLessThanOrEqualTo(CrashHistoryTable.MAX_HISTORIES);
    }

    @Test
    void fingerprintDependsOnServiceAccountMethodTargetAndBody() {
        String[][] requests = {
            {"s", "a", "GET", "/x", ""},
            {"t", "a", "GET", "/x", ""},
            {"s", "b", "GET", "/x", ""},
            {"s", "a", "POST", "/x", ""},
            {"s", "a", "GET", "/y", ""},
            {"s", "a", "GET", "/x", "b"},
        };
        assertThat(
                        java.util.Arrays.stream(requests)
                                .map(
                                        r ->
                                                RequestFingerprint.of(
                                                        r[0], r[1], r[2], r[3], r[4].getBytes()))
                                .distinct())
                .hasSize(requests.length);
    }
}

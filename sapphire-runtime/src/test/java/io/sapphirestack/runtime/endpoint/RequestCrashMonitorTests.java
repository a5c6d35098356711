package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.EndpointPhase;
import io.sapphirestack.core.quarantine.CrashHistoryTable;
import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a wrong order of sends and crashes that are less than a millisecond apart. The
 * milliseconds of the monotonic clock and of the wall clock begin at different moments here.
 */
class RequestCrashMonitorTests {

    private static final RequestFingerprint REQUEST = new RequestFingerprint(7);
    private static final long MILLISECOND_US = 1_000;
    private static final long STEP_US = 100;
    private static final long START_US = 1_000_000 * MILLISECOND_US;

    private long nowUs;

    @Test
    void requestsThatWereSentBeforeACommonCrashAreOneEpisode() {
        for (long phaseUs = 0; phaseUs < MILLISECOND_US; phaseUs += STEP_US) {
            for (long startUs = 0; startUs < MILLISECOND_US; startUs += STEP_US) {
                for (long gapUs = 0; gapUs <= 2 * MILLISECOND_US; gapUs += STEP_US) {
                    assertThat(isRefused(phaseUs, startUs, gapUs, false))
                            .as("phase %d, start %d, gap %d us", phaseUs, startUs, gapUs)
                            .isFalse();
                }
            }
        }
    }

    @Test
    void retryAfterACrashIsALaterEpisode() {
        for (long phaseUs = 0; phaseUs < MILLISECOND_US; phaseUs += STEP_US) {
            for (long startUs = 0; startUs < MILLISECOND_US; startUs += STEP_US) {
                for (long gapUs = 0; gapUs <= 2 * MILLISECOND_US; gapUs += STEP_US) {
                    assertThat(isRefused(phaseUs, startUs, gapUs, true))
                            .as("phase %d, start %d, gap %d us", phaseUs, startUs, gapUs)
                            .isTrue();
                }
            }
        }
    }

    /**
     * Returns whether a request that was answered before is refused after two crashes.
     *
     * @param phaseUs time from the start of a monotonic millisecond to that of the wall clock
     * @param startUs time of the first crash within a monotonic millisecond
     * @param gapUs time from the second send to its failure
     * @param isRetry whether the second send follows the first failure
     */
    private boolean isRefused(long phaseUs, long startUs, long gapUs, boolean isRetry) {
        MillisClock clock = () -> nowUs / MILLISECOND_US;
        MillisClock wallClock = () -> (nowUs + phaseUs) / MILLISECOND_US;
        RequestQuarantine quarantine =
                new RequestQuarantine(new CrashHistoryTable(wallClock), wallClock, 1);
        try (RequestCrashMonitor monitor =
                new RequestCrashMonitor(quarantine, endpoint -> false, crash -> {}, clock)) {
            nowUs = START_US - 500 * MILLISECOND_US;
            monitor.recordAnswer(REQUEST);
            nowUs = START_US + startUs;
            long sentAtMs = RequestQuarantine.reportedSentAtMs(clock.nowMs(), isRetry);
            monitor.recordFailure(REQUEST, PromptParts.NONE, endpoint("e1"), clock.nowMs() - 20);
            nowUs += gapUs;
            monitor.recordFailure(REQUEST, PromptParts.NONE, endpoint("e2"), sentAtMs);
            return monitor.remainingMs(REQUEST).isPresent();
        }
    }

    private static EndpointState endpoint(String id) {
        return new EndpointState(
                EndpointId.of(id),
                "scribe",
                "127.0.0.1:1",
                "z1",
                1,
                Set.of(),
                new EndpointLoad(0, 0, 8, 0),
                EndpointPhase.SERVING,
                0,
                "");
    }
}

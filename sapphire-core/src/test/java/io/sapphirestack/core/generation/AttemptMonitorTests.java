package io.sapphirestack.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.record.ResumePolicy;
import io.sapphirestack.core.record.ResumeSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the choice between waiting, re-attaching and moving to another endpoint. */
class AttemptMonitorTests {

    /**
     * Guards against recomputation although the engine responds, and against waiting after a
     * connection reset.
     */
    @ParameterizedTest
    @EnumSource(ResumePolicy.class)
    void successfulProbeReattachesAndConnectionResetMoves(ResumePolicy policy) {
        AttemptMonitor monitor = monitor(policy);

        assertThat(monitor.onSilence()).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbeResult(true, 900)).isEqualTo(ResumeAction.REATTACH);
        assertThat(monitor.onStreamUnavailable()).isEqualTo(ResumeAction.MOVE);
    }

    /** Guards against policies that handle an engine without a response in the same way. */
    @ParameterizedTest
    @CsvSource({"LATENCY, MOVE", "RESOURCE, PROBE", "SPECULATIVE, SPECULATE"})
    void failedProbeFollowsThePolicy(ResumePolicy policy, ResumeAction action) {
        assertThat(monitor(policy).onProbeResult(false, 900)).isEqualTo(action);
    }

    /** Guards against a wait that exceeds the resume objective of 5 s. */
    @Test
    void resourcePolicyMovesAfterTheSuspectWait() {
        AttemptMonitor monitor = monitor(ResumePolicy.RESOURCE);

        assertThat(monitor.onProbeResult(false, 900)).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbeResult(false, 3_399)).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbeResult(false, 3_400)).isEqualTo(ResumeAction.MOVE);
    }

    /** Guards against an additional speculative attempt after each failed probe. */
    @Test
    void speculativePolicyStartsOneFurtherAttempt() {
        AttemptMonitor monitor = monitor(ResumePolicy.SPECULATIVE);

        assertThat(monitor.onProbeResult(false, 900)).isEqualTo(ResumeAction.SPECULATE);
        assertThat(monitor.onProbeResult(false, 1_200)).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbeResult(true, 1_300)).isEqualTo(ResumeAction.REATTACH);
    }

    /**
     * Guards against reading a stuck stream forever because the engine still responds to probes.
     */
    @Test
    void engineIsSuspectedAfterThreeReattachmentsWithoutData() {
        AttemptMonitor monitor = monitor(ResumePolicy.LATENCY);

        for (int i = 0; i < 3; i++) {
            assertThat(monitor.onProbeResult(true, 900)).isEqualTo(ResumeAction.REATTACH);
        }
        assertThat(monitor.onProbeResult(true, 900)).isEqualTo(ResumeAction.MOVE);
    }

    /**
     * Guards against moving an attempt from a stalled engine under the resource policy, and against
     * staying on it under the other policies.
     */
    @ParameterizedTest
    @CsvSource({"LATENCY, MOVE", "RESOURCE, CONTINUE", "SPECULATIVE, MOVE"})
    void stalledEngineFollowsThePolicy(ResumePolicy policy, ResumeAction action) {
        AttemptMonitor monitor = monitor(policy);

        monitor.onToken(5_000);
        assertThat(monitor.onKeepAlive(14_999)).isEqualTo(ResumeAction.CONTINUE);
        assertThat(monitor.onKeepAlive(15_000)).isEqualTo(action);
        assertThat(monitor.stallCount()).isEqualTo(1);
    }

    private static AttemptMonitor monitor(ResumePolicy policy) {
        ResumeSpec spec = new ResumeSpec(policy, 600, 300, 2_500, 10_000);
        return new AttemptMonitor(spec, ResumeStrategy.of(policy), false, 0);
    }

    /** Guards against a resumed generation that is queued at an engine for longer than 5 s. */
    @Test
    void queuedResumedAttemptMovesAfterTheFirstTokenLimit() {
        AttemptMonitor monitor =
                new AttemptMonitor(
                        ResumeSpec.DEFAULT, ResumeStrategy.of(ResumePolicy.RESOURCE), true, 0);

        assertThat(monitor.onKeepAlive(1_400)).isEqualTo(ResumeAction.CONTINUE);
        assertThat(monitor.onKeepAlive(1_600)).isEqualTo(ResumeAction.MOVE);
        assertThat(monitor.onKeepAlive(1_800)).isEqualTo(ResumeAction.CONTINUE);
        monitor.onToken(2_000);
        assertThat(monitor.onKeepAlive(9_000)).isEqualTo(ResumeAction.CONTINUE);
    }
}

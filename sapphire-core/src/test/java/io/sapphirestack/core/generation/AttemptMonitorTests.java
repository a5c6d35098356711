package io.sapphirestack.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.record.ResumePolicy;
import io.sapphirestack.core.record.ResumeSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards the decision between waiting, re-attaching and moving. */
class AttemptMonitorTests {

    /**
     * Guards against computing again when the engine is alive, and against a wait after a reset.
     */
    @ParameterizedTest
    @EnumSource(ResumePolicy.class)
    void answeredProbeReattachesAndResetMoves(ResumePolicy policy) {
        AttemptMonitor monitor = monitor(policy);

        assertThat(monitor.onSilence()).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbe(true, 900)).isEqualTo(ResumeAction.REATTACH);
        assertThat(monitor.onReset()).isEqualTo(ResumeAction.MOVE);
    }

    /** Guards against policies that act alike on an engine that does not answer. */
    @ParameterizedTest
    @CsvSource({"LATENCY, MOVE", "RESOURCE, PROBE", "SPECULATIVE, SPECULATE"})
    void unansweredProbeFollowsThePolicy(ResumePolicy policy, ResumeAction action) {
        assertThat(monitor(policy).onProbe(false, 900)).isEqualTo(action);
    }

    /** Guards against waiting longer than the bound of 5 s allows. */
    @Test
    void resourcePolicyMovesAfterTheSuspectWait() {
        AttemptMonitor monitor = monitor(ResumePolicy.RESOURCE);

        assertThat(monitor.onProbe(false, 900)).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbe(false, 3_399)).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbe(false, 3_400)).isEqualTo(ResumeAction.MOVE);
    }

    /** Guards against starting a further attempt with each probe. */
    @Test
    void speculationStartsOneAttempt() {
        AttemptMonitor monitor = monitor(ResumePolicy.SPECULATIVE);

        assertThat(monitor.onProbe(false, 900)).isEqualTo(ResumeAction.SPECULATE);
        assertThat(monitor.onProbe(false, 1_200)).isEqualTo(ResumeAction.PROBE);
        assertThat(monitor.onProbe(true, 1_300)).isEqualTo(ResumeAction.REATTACH);
    }

    /** Guards against reading a stuck stream for ever because probes are answered. */
    @Test
    void reattachmentsWithoutDataCountAsSuspicion() {
        AttemptMonitor monitor = monitor(ResumePolicy.LATENCY);

        for (int i = 0; i < 3; i++) {
            assertThat(monitor.onProbe(true, 900)).isEqualTo(ResumeAction.REATTACH);
        }
        assertThat(monitor.onProbe(true, 900)).isEqualTo(ResumeAction.MOVE);
    }

    /** Guards against moving a bulk job from a slow engine, and against never leaving one. */
    @ParameterizedTest
    @CsvSource({"LATENCY, MOVE", "RESOURCE, CONTINUE", "SPECULATIVE, MOVE"})
    void keepAlivesWithoutTokensFollowThePolicy(ResumePolicy policy, ResumeAction action) {
        AttemptMonitor monitor = monitor(policy);

        monitor.onToken(5_000);
        assertThat(monitor.onKeepAlive(14_999)).isEqualTo(ResumeAction.CONTINUE);
        assertThat(monitor.onKeepAlive(15_000)).isEqualTo(action);
        assertThat(monitor.stalls()).isEqualTo(1);
    }

    private static AttemptMonitor monitor(ResumePolicy policy) {
        ResumeSpec spec = new ResumeSpec(policy, 600, 300, 2_500, 10_000);
        return new AttemptMonitor(spec, ResumeStrategy.of(policy), false, 0);
    }

    /** Guards against a resumed output that waits in an engine's queue for longer than 5 s. */
    @Test
    void resumedAttemptThatIsQueuedMovesEarly() {
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

package io.sapphirestack.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.record.ModelPin;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine whose output, scheduling order, prefill time, load report or injected
 * faults are wrong, which would make other tests pass or fail for the wrong reason.
 */
class BatchSchedulerTests {

    private static final ModelPin PIN = new ModelPin("base", "", "1");
    private static final int STEP_MS = 10;

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final AtomicInteger exits = new AtomicInteger();
    private final EngineFaults faults = new EngineFaults(exits::incrementAndGet);
    private BatchScheduler scheduler = scheduler(1, false);

    private BatchScheduler scheduler(int slots, boolean dependsOnAttempt) {
        EngineOptions options =
                new EngineOptions(
                        slots, 2, STEP_MS, 100, 64, 0, 0, 50, 0, dependsOnAttempt, true, 1);
        return new BatchScheduler(
                options, nowMs::get, new PrefixCache(64, 0, 0, 1), faults, PIN::equals);
    }

    private AttemptStream submit(String generation, int attempt, String prompt, int priority)
            throws EngineRefusalException {
        return scheduler.submit(
                new StreamRequest(generation, attempt, PIN, 7, prompt, List.of(), 4, priority));
    }

    private void steps(int count) {
        for (int i = 0; i < count; i++) {
            nowMs.addAndGet(STEP_MS);
            scheduler.step();
        }
    }

    private static List<String> texts(AttemptStream stream) throws InterruptedException {
        List<String> texts = new ArrayList<>();
        stream.awaitTokens(0, 1).tokens().forEach(token -> texts.add(token.text()));
        return texts;
    }

    @Test
    void outputIsAsExpected() throws Exception {
        AttemptStream stream = submit("g", 1, "p", 5);
        steps(10);
        assertThat(String.join("", texts(stream))).isEqualTo(ExpectedOutput.of("p", 7).text(4));
        assertThat(stream.awaitTokens(0, 1).finishReason()).isEqualTo("length");
    }

    @Test
    void prefixIsNotRecomputed() throws Exception {
        ExpectedOutput expected = ExpectedOutput.of("p", 7);
        AttemptStream stream =
                scheduler.submit(
                        new StreamRequest(
                                "g",
                                2,
                                PIN,
                                7,
                                "p",
                                List.of(expected.token(0), expected.token(1)),
                                4,
                                5));
        steps(10);
        assertThat(texts(stream)).containsExactly(expected.token(2), expected.token(3));
        assertThat(stream.awaitTokens(0, 1).fromOffset()).isEqualTo(2);
    }

    @Test
    void attemptsDifferIfConfigured() throws Exception {
        scheduler = scheduler(2, true);
        AttemptStream first = submit("g", 1, "p", 5);
        AttemptStream second = submit("g", 2, "p", 5);
        steps(10);
        assertThat(texts(first)).doesNotContainAnyElementsOf(texts(second));
    }

    @Test
    void higherPriorityGetsTheFreeSlot() throws Exception {
        submit("running", 1, "p", 5);
        steps(1);
        AttemptStream low = submit("low", 1, "p", 1);
        AttemptStream high = submit("high", 1, "p", 9);
        steps(5);
        assertThat(texts(high)).isNotEmpty();
        assertThat(texts(low)).isEmpty();
        assertThatThrownBy(
                        () -> {
                            submit("more", 1, "p", 9);
                            submit("toomany", 1, "p", 9);
                        })
                .isInstanceOfSatisfying(
                        EngineRefusalException.class,
                        refusal -> assertThat(refusal.code()).isEqualTo("overloaded"));
    }

    @Test
    void cachedBlocksReducePrefillTime() throws Exception {
        String prompt = "x".repeat(4 * 1_024);
        AttemptStream cold = submit("cold", 1, prompt, 5);
        steps(40);
        assertThat(cold.nextOffset()).isZero();
        steps(5);
        assertThat(cold.isFinished()).isTrue();
        AttemptStream warm = submit("warm", 1, prompt, 5);
        steps(5);
        assertThat(warm.isFinished()).isTrue();
        assertThat(warm.awaitTokens(0, 1).cachedTokens()).isEqualTo(1_024);
    }

    @Test
    void streamWithoutReaderIsAbandonedAfterHalfAMinuteAndLaterRemoved() throws Exception {
        AttemptStream stream = submit("g", 1, "x".repeat(1_024 * 1_000), 5);
        nowMs.addAndGet(29_000);
        scheduler.step();
        assertThat(stream.isFinished()).isFalse();
        nowMs.addAndGet(2_000);
        scheduler.step();
        assertThat(stream.awaitTokens(0, 1).finishReason()).isEqualTo("abandoned");
        nowMs.addAndGet(60_000);
        scheduler.step();
        assertThat(scheduler.find("g", 1)).isEmpty();
    }

    @Test
    void cancelledStreamFreesItsSlot() throws Exception {
        submit("g", 1, "p", 5);
        AttemptStream next = submit("h", 1, "p", 5);
        steps(2);
        scheduler.cancel("g", 1);
        steps(1);
        assertThat(next.nextOffset()).isEqualTo(1);
    }

    @Test
    void duplicateAttemptAndUnloadedModelAreRefused() throws Exception {
        submit("g", 1, "p", 5);
        assertThatThrownBy(() -> submit("g", 1, "p", 5)).hasMessageContaining("attempt_exists");
        ModelPin other = new ModelPin("base", "", "2");
        assertThatThrownBy(
                        () ->
                                scheduler.submit(
                                        new StreamRequest("h", 1, other, 7, "p", null, 4, 5)))
                .hasMessageContaining("model_not_loaded");
    }

    @Test
    void reportedLoadIsDelayed() throws Exception {
        scheduler.step();
        submit("g", 1, "p", 5);
        steps(1);
        assertThat(scheduler.reportedLoad().running()).isZero();
        nowMs.addAndGet(50);
        assertThat(scheduler.reportedLoad().running()).isEqualTo(1);
        assertThat(scheduler.reportedLoad().slots()).isEqualTo(1);
    }

    @Test
    void processExitsAfterTheGivenNumberOfTokens() throws Exception {
        faults.exitAfterTokens(3);
        submit("g", 1, "p", 5);
        steps(2);
        assertThat(exits).hasValue(0);
        steps(1);
        assertThat(exits).hasValue(1);
    }

    @Test
    void onlyOneConnectionStalls() {
        faults.stallOneStreamAfterTokens(2);
        assertThat(faults.shouldStall(1)).isFalse();
        assertThat(faults.shouldStall(2)).isTrue();
        assertThat(faults.shouldStall(3)).isFalse();
    }
}

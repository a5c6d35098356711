package io.sapphirestack.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.InstanceSelector;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Guards against a client that accepts wrong or missing tokens, or that does not continue an
 * interrupted stream.
 */
class GenerationClientTests {

    private static GenerationResult generate(FakeInstances instances) {
        MillisClock clock = MillisClock.monotonic();
        InstanceSelector selector = new InstanceSelector(instances.addresses(), "", 1, clock);
        return new GenerationClient(selector, "key", clock, 60_000)
                .generate(new CompletionRequest("m1", "p", 20, 7, "k"), (id, count) -> {});
    }

    @Test
    void interruptedStreamContinuesAtTheNextToken() throws IOException {
        try (FakeInstances instances = new FakeInstances(8, -1)) {
            GenerationResult result = generate(instances);
            assertThat(result.failure()).isEmpty();
            assertThat(result.complete()).isTrue();
            assertThat(result.tokenCount()).isEqualTo(20);
            assertThat(result.continuations()).isEqualTo(2);
            assertThat(instances.requests).filteredOn("POST /v1/completions"::equals).hasSize(1);
        }
    }

    @Test
    void wrongTokenIsReported() throws IOException {
        try (FakeInstances instances = new FakeInstances(100, 5)) {
            GenerationResult result = generate(instances);
            assertThat(result.complete()).isFalse();
            assertThat(result.failure()).isEqualTo("token 5 has the wrong text");
        }
    }

    @Test
    void longestGapCountsOnlyGapsThatStartWithinThePeriod() {
        GenerationResult result =
                new GenerationResult("g", 4, true, "", 0, java.util.List.of(0L, 100L, 400L, 420L));
        assertThat(result.longestGapMs(0, 1_000)).isEqualTo(300);
        assertThat(result.longestGapMs(0, 100)).isEqualTo(100);
        assertThat(result.longestGapMs(400, 1_000)).isEqualTo(20);
    }
}

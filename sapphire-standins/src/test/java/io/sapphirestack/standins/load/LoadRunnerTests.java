package io.sapphirestack.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.JsonSupport;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Guards against a load command that sends fewer requests than requested, or that does not count
 * refusals and wrong responses.
 */
class LoadRunnerTests {

    private static JsonNode run(FakeInstances instances, LoadStatistics statistics)
            throws Exception {
        LoadOptions options =
                new LoadOptions(
                        instances.addresses(), "key", "m1", "ledger", 1, 5, 10, 20, 20, 100, 1);
        new LoadRunner(options, MillisClock.monotonic(), statistics).run();
        return JsonSupport.readTree(JsonSupport.toBytes(statistics.toMap()));
    }

    @Test
    void everyDueRequestIsSentAndRefusalsAreCountedByCode() throws Exception {
        LoadStatistics statistics = new LoadStatistics();
        try (FakeInstances instances = new FakeInstances(100, -1)) {
            JsonNode result = run(instances, statistics);
            assertThat(result.path("counts").path("generations").asInt()).isEqualTo(5);
            assertThat(result.path("counts").path("orders").asInt()).isEqualTo(10);
            assertThat(result.path("counts").path("reads").asInt()).isEqualTo(20);
            assertThat(result.path("refusals").path("overloaded").asInt()).isEqualTo(10);
            assertThat(result.path("latenciesMs").path("between tokens").path("count").asInt())
                    .isEqualTo(5 * 19);
            assertThat(statistics.contractViolations()).isZero();
        }
    }

    @Test
    void wrongTokensAreCounted() throws IOException, Exception {
        LoadStatistics statistics = new LoadStatistics();
        try (FakeInstances instances = new FakeInstances(100, 3)) {
            run(instances, statistics);
        }
        assertThat(statistics.contractViolations()).isEqualTo(5);
        assertThat(statistics.toText()).contains("wrong: token 3 has the wrong text");
    }
}

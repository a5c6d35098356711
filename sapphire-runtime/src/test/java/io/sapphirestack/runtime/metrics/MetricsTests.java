package io.sapphirestack.runtime.metrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against metrics in the wrong unit and log lines that cannot be split into fields. */
class MetricsTests {

    private final Metrics metrics = new Metrics();

    @Test
    void latenciesAreWrittenInSeconds() throws IOException {
        metrics.recordRequest("/r", 200, 30);
        metrics.recordResume(1_500);
        assertThat(text())
                .contains("sapphire_http_request_seconds_bucket{route=\"/r\",le=\"0.02\"} 0")
                .contains("sapphire_http_request_seconds_bucket{route=\"/r\",le=\"0.035\"} 1")
                .contains("sapphire_resume_seconds_sum 1.5")
                .contains("sapphire_resume_seconds_bucket{le=\"1.0\"} 0");
    }

    @Test
    void countersAndGaugesCarryTheirValues() throws IOException {
        metrics.recordAttempt("first");
        metrics.recordRefusal("overloaded", "no");
        metrics.recordRecomputedTokens(7);
        metrics.registerGauge("sapphire_test", "Test.", () -> 3);
        assertThat(text())
                .contains("sapphire_attempts_total{reason=\"first\"} 1.0")
                .contains("sapphire_refusals_total{code=\"overloaded\",ran=\"no\"} 1.0")
                .contains("sapphire_recomputed_tokens_total 7.0")
                .contains("sapphire_test 3.0");
    }

    @Test
    void fieldsAreQuotedWhereTheyMustBe() {
        assertThat(
                        EventLog.format(
                                "SAP1000",
                                "Text",
                                "a",
                                "x",
                                "b",
                                "y z",
                                "c",
                                "q\"\n",
                                "d",
                                "",
                                "e",
                                7,
                                "f",
                                true,
                                "g",
                                OptionalLong.of(3)))
                .isEqualTo(
                        "SAP1000 Text {\"a\":\"x\",\"b\":\"y z\",\"c\":\"q\\\"\\n\",\"d\":\"\","
                                + "\"e\":7,\"f\":true,\"g\":3}");
        assertThat(EventLog.format("SAP1000", "Text")).isEqualTo("SAP1000 Text");
        assertThatThrownBy(() -> EventLog.format("SAP1", "Text"))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> EventLog.format("SAP1000", "Text", "a"))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private String text() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        metrics.write(out);
        return out.toString(StandardCharsets.UTF_8);
    }
}

package io.sapphirestack.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against events that are written on several lines, as with a line break in a message or a
 * stack trace, or without their identifier or fields.
 */
class LogLineFormatterTests {

    private final LogLineFormatter formatter = new LogLineFormatter();

    private JsonNode formatAndParse(LogRecord record) throws Exception {
        String line = formatter.format(record);
        assertThat(line).endsWith("}\n").doesNotContain("\n{").hasLineCount(1);
        return new ObjectMapper().readTree(line);
    }

    @Test
    void eventIsOneLineOfJsonWithItsFields() throws Exception {
        LogRecord record =
                new LogRecord(
                        Level.INFO,
                        "SAP1201 HTTP interface is listening {\"port\":1,\"zone\":\"a {b}\"}");
        record.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));
        JsonNode line = formatAndParse(record);
        assertThat(line.path("timeUtc").asText()).isEqualTo("2026-01-02T03:04:05.006Z");
        assertThat(line.path("level").asText()).isEqualTo("INFO");
        assertThat(line.path("event").asText()).isEqualTo("SAP1201");
        assertThat(line.path("message").asText()).isEqualTo("HTTP interface is listening");
        assertThat(line.path("port").asInt()).isEqualTo(1);
        assertThat(line.path("zone").asText()).isEqualTo("a {b}");
    }

    @Test
    void stackTraceIsOnTheLineOfItsEvent() throws Exception {
        LogRecord record = new LogRecord(Level.SEVERE, "other\nlibrary");
        record.setThrown(new IllegalStateException("first\nsecond"));
        JsonNode line = formatAndParse(record);
        assertThat(line.path("level").asText()).isEqualTo("ERROR");
        assertThat(line.path("event").asText()).isEmpty();
        assertThat(line.path("message").asText()).isEqualTo("other\nlibrary");
        assertThat(line.path("thrown").asText()).contains("first\nsecond");
    }
}

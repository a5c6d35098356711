package io.sapphirestack.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Guards against events that take more than one line or lose their identifier. */
class LogLineFormatterTests {

    private final LogLineFormatter formatter = new LogLineFormatter();

    @Test
    void eventIsOneLineWithItsIdentifier() {
        LogRecord record = new LogRecord(Level.INFO, "SAP1201 HTTP interface is listening port=1");
        record.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));
        assertThat(formatter.format(record))
                .isEqualTo(
                        "2026-01-02T03:04:05.006Z INFO SAP1201 HTTP interface is listening port=1\n");
    }

    @Test
    void failureStaysOnTheLineOfItsEvent() {
        LogRecord record = new LogRecord(Level.SEVERE, "other\nlibrary");
        record.setThrown(new IllegalStateException("first\nsecond"));
        assertThat(formatter.format(record))
                .matches("(?s)[^\n]* ERROR - other library cause=\"[^\n]*first second[^\n]*\"\n");
    }
}

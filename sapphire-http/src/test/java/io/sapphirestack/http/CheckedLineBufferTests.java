package io.sapphirestack.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.impl.io.SessionInputBufferImpl;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lines that are cut off or have no end, and against logs that fill with what an
 * endpoint sent.
 */
class CheckedLineBufferTests {

    private static final int BUFFER_BYTES = 64;
    private static final int MAX_LINE_BYTES = 1_000;
    private static final int MAX_MESSAGE_CHARACTERS = 100;
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private static int readHead(String octets) throws IOException {
        InputStream in = new ByteArrayInputStream(octets.getBytes(StandardCharsets.ISO_8859_1));
        HeadInputBuffer buffer =
                new HeadInputBuffer(new SessionInputBufferImpl(BUFFER_BYTES), MAX_LINE_BYTES);
        CharArrayBuffer line = new CharArrayBuffer(BUFFER_BYTES);
        int lines = 0;
        while (buffer.readLine(line, in) > 0) {
            lines++;
            line.clear();
        }
        return lines;
    }

    @Test
    void endBeforeTheFirstLineIsNoFailure() throws Exception {
        assertThat(readHead("")).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 OK", STATUS_LINE, STATUS_LINE + "X-Note: v\r\n"})
    void headThatIsCutOffIsNone(String octets) {
        assertThatThrownBy(() -> readHead(octets)).isInstanceOf(ConnectionClosedException.class);
    }

    @Test
    void lineMayHaveTheMaximumSizeAndNoMore() throws Exception {
        String field = "X: " + "x".repeat(MAX_LINE_BYTES - 4) + "\r\n";
        assertThat(readHead(STATUS_LINE + field + "\r\n")).isEqualTo(2);
        assertThatThrownBy(() -> readHead(STATUS_LINE + "x" + field + "\r\n"))
                .isInstanceOf(MessageConstraintException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"secret", "secret: v", " secret", "X secret: v", "X: v\r\n secret"})
    void failureDoesNotContainWhatWasReceived(String fields) {
        String first = fields.equals("secret: v") ? "secret\r\n" : STATUS_LINE;
        assertThatThrownBy(() -> readHead(first + fields + "secret".repeat(100) + "\r\n\r\n"))
                .isInstanceOf(MalformedHeadException.class)
                .hasMessageNotContaining("secret")
                .satisfies(e -> assertThat(e.getMessage()).hasSizeLessThan(MAX_MESSAGE_CHARACTERS));
    }
}

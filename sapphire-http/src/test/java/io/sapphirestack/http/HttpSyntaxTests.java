package io.sapphirestack.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against octets that the grammar of HTTP does not allow in a line, each at each place, and
 * against lines that would cost a connection much time or its stack.
 */
class HttpSyntaxTests {

    private static final int OCTETS = 0x100;
    private static final int LONG_LINE_PARTS = 1 << 18;
    private static final int STACK_BYTES = 256 * 1_024;

    private static boolean isTokenOctet(int octet) {
        return octet >= '0' && octet <= '9'
                || octet >= 'A' && octet <= 'Z'
                || octet >= 'a' && octet <= 'z'
                || "!#$%&'*+-.^_`|~".indexOf(octet) >= 0;
    }

    private static boolean isTextOctet(int octet) {
        return octet == '\t' || octet >= ' ' && octet != 0x7F;
    }

    static IntStream octets() {
        return IntStream.range(0, OCTETS);
    }

    /** RFC 9110, section 5.6.2; RFC 9112, section 5. */
    @ParameterizedTest
    @MethodSource("octets")
    void nameOfAFieldIsAToken(int octet) {
        String text = Character.toString(octet);
        boolean isToken = isTokenOctet(octet);

        for (String name : new String[] {text, text + "a", "a" + text, "a" + text + "a"}) {
            assertThat(HttpSyntax.isToken(name)).as(name).isEqualTo(isToken);
            boolean isFieldLine = isToken || octet == ':' && name.startsWith("a");
            assertThat(HttpSyntax.isFieldLine(name + ": v")).as(name).isEqualTo(isFieldLine);
        }
    }

    /** RFC 9112, section 4. */
    @ParameterizedTest
    @MethodSource("octets")
    void reasonPhraseIsText(int octet) {
        assertThat(HttpSyntax.isStatusLine("HTTP/1.1 200 O" + (char) octet + "K"))
                .isEqualTo(isTextOctet(octet));
    }

    /** RFC 9110, section 8.6; RFC 9112, section 7.1. */
    @ParameterizedTest
    @MethodSource("octets")
    void lengthsAndSizesAreDigits(int octet) {
        boolean isDigit = octet >= '0' && octet <= '9';
        boolean isHexDigit = isDigit || "abcdefABCDEF".indexOf(octet) >= 0;

        for (String text : new String[] {(char) octet + "1", "1" + (char) octet}) {
            assertThat(HttpSyntax.contentLength(text).isPresent()).isEqualTo(isDigit);
            assertThat(HttpSyntax.isChunkLine(text)).isEqualTo(isHexDigit);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "0000000000000000000000000000007, 7",
        "9223372036854775807, 9223372036854775807",
        "9223372036854775808,",
        "99999999999999999999999999999999,",
        "'',",
        "' 1',",
        "1.0,",
        "\u0661,"
    })
    void lengthIsReadWithoutOverflow(String value, Long expected) {
        OptionalLong length = HttpSyntax.contentLength(value);

        assertThat(length)
                .isEqualTo(expected == null ? OptionalLong.empty() : OptionalLong.of(expected));
    }

    @ParameterizedTest
    @CsvSource({"0, true", "000, true", "0;a, true", "00 ;a, true", "0a, false", "10, false"})
    void lastChunkHasTheSizeZero(String line, boolean expected) {
        assertThat(HttpSyntax.isLastChunkLine(line)).isEqualTo(expected);
    }

    private static Arguments line(Predicate<CharSequence> rule, String line, boolean expected) {
        return Arguments.of(rule, line, expected);
    }

    static Stream<Arguments> longLines() {
        Predicate<CharSequence> chunk = HttpSyntax::isChunkLine;
        return Stream.of(
                line(chunk, "1" + ";a=b".repeat(LONG_LINE_PARTS), true),
                line(chunk, "1" + ";a=b".repeat(LONG_LINE_PARTS) + " ", false),
                line(chunk, "1;a=\"" + "\\\"b".repeat(LONG_LINE_PARTS) + "\"", true),
                line(chunk, "1;a=\"" + "\\\"b".repeat(LONG_LINE_PARTS), false),
                line(chunk, "1" + " ".repeat(LONG_LINE_PARTS), false),
                line(HttpSyntax::isFieldLine, "a".repeat(LONG_LINE_PARTS), false),
                line(HttpSyntax::isStatusLine, "HTTP/1.1 200" + " ".repeat(LONG_LINE_PARTS), true),
                line(HttpSyntax::isStatusLine, " ".repeat(LONG_LINE_PARTS), false));
    }

    /** Connections of endpoints have threads with small stacks. */
    @ParameterizedTest
    @MethodSource("longLines")
    @Timeout(10)
    void longLineTakesNoStack(Predicate<CharSequence> rule, String line, boolean expected)
            throws Exception {
        boolean[] result = new boolean[1];
        Throwable[] failure = new Throwable[1];
        Thread thread =
                new Thread(null, () -> result[0] = rule.test(line), "small-stack", STACK_BYTES);
        thread.setUncaughtExceptionHandler((ignored, e) -> failure[0] = e);
        thread.start();
        thread.join(TimeUnit.SECONDS.toMillis(10));

        assertThat(failure[0]).isNull();
        assertThat(result[0]).isEqualTo(expected);
    }

    @Test
    void emptyLineIsNeitherAStatusLineNorAField() {
        assertThat(HttpSyntax.isStatusLine("")).isFalse();
        assertThat(HttpSyntax.isFieldLine("")).isFalse();
        assertThat(HttpSyntax.isChunkLine("")).isFalse();
    }
}

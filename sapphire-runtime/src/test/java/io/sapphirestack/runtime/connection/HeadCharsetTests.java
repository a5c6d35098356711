package io.sapphirestack.runtime.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetEncoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads whose octets change, or whose values become the same (review/10). */
class HeadCharsetTests {

    private static String encode(String text) throws CharacterCodingException {
        ByteBuffer octets = HeadCharset.encoder().encode(CharBuffer.wrap(text));
        return new String(octets.array(), 0, octets.limit(), StandardCharsets.ISO_8859_1);
    }

    @Test
    void octetsStayAsTheyAre() throws CharacterCodingException {
        for (char octet = ' '; octet <= 0xFF; octet++) {
            String expected = octet == 0x7F ? " " : String.valueOf(octet);
            assertThat(encode(String.valueOf(octet))).isEqualTo(expected);
        }
        assertThat(encode("a\tb")).isEqualTo("a\tb");
    }

    /** Some receivers take a control character for the end of a line. */
    @ParameterizedTest
    @ValueSource(strings = {"\r", "\n", "\u0000", "\u001f"})
    void controlCharactersBecomeSpaces(String control) throws CharacterCodingException {
        assertThat(encode("a" + control + "b")).isEqualTo("a b");
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0100", "\u025b", "\ud83d\ude80", "\ud800"})
    void textThatWasNotEncodedFails(String text) {
        assertThatThrownBy(() -> encode("ab" + text)).isInstanceOf(CharacterCodingException.class);
    }

    /** The library encodes a long line in parts of its buffer. */
    @Test
    void longTextIsEncodedInParts() {
        CharsetEncoder encoder = HeadCharset.encoder();
        CharBuffer text = CharBuffer.wrap("abcdef");
        ByteBuffer part = ByteBuffer.allocate(4);

        assertThat(encoder.encode(text, part, true)).isEqualTo(CoderResult.OVERFLOW);
        assertThat(part.position()).isEqualTo(4);
        part.clear();
        assertThat(encoder.encode(text, part, true)).isEqualTo(CoderResult.UNDERFLOW);
        assertThat(new String(part.array(), 0, part.position(), StandardCharsets.US_ASCII))
                .isEqualTo("ef");
    }
}

package io.sapphirestack.core.relay;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Text in HTTP header fields. A field value is a sequence of octets (RFC 9110, section 5.5), which
 * this system handles as a string with one character up to U+00FF for each octet. Text is sent as
 * UTF-8, so that a name stays the name for every receiver that reads UTF-8.
 */
public final class HeaderText {

    /** Begins the encoded form of a text that no field value can carry (RFC 8187, section 3.2). */
    private static final String ENCODED_PREFIX = "UTF-8''";

    private static final char MIN_BEYOND_ASCII = 0x80;
    private static final String HEX_DIGITS = "0123456789ABCDEF";

    /** Characters that the encoded form keeps, beside letters and digits. */
    private static final String KEPT = "!#$&+-.^_`|~";

    private HeaderText() {}

    /**
     * Returns whether a text can be encoded, unlike one with an unpaired surrogate.
     *
     * @param text text
     */
    public static boolean isEncodable(String text) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /**
     * Returns the octets of a text, if a field value can carry it.
     *
     * @param text text that can be encoded
     * @return the octets, or empty if the text contains a control character, or begins or ends with
     *     a space, which receivers remove
     */
    public static Optional<String> octetsOf(String text) {
        boolean isTrimmed = text.startsWith(" ") || text.endsWith(" ");
        boolean isAscii = true;
        for (int i = 0; i < text.length(); i++) {
            if (isControl(text.charAt(i))) {
                return Optional.empty();
            }
            isAscii &= text.charAt(i) < MIN_BEYOND_ASCII;
        }
        if (isTrimmed) {
            return Optional.empty();
        }
        if (isAscii) {
            return Optional.of(text);
        }
        return Optional.of(
                new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1));
    }

    /**
     * Returns a field value for any text: its octets, or, if no field value can carry these, the
     * text as an extended value of RFC 8187.
     *
     * @param text text that can be encoded
     * @return a string with one character for each octet
     */
    public static String valueOf(String text) {
        return octetsOf(text).orElseGet(() -> ENCODED_PREFIX + percentEncode(text));
    }

    /**
     * Returns whether a character is an ASCII control character, which no field value may contain.
     * That includes the tab, because receivers may replace it by a space.
     *
     * @param character character, or octet
     */
    public static boolean isControl(int character) {
        return character < ' ' || character == 0x7F;
    }

    /**
     * Decodes the percent-encoded octets beyond ASCII of a path (RFC 3987, section 3.1), and no
     * others: an encoded slash, for example, is not a slash.
     *
     * @param path path, with one character for each octet
     * @return path in which these octets stand for themselves
     */
    static String decodeHighOctets(String path) {
        StringBuilder decoded = new StringBuilder(path.length());
        for (int i = 0; i < path.length(); i++) {
            int octet = path.charAt(i) == '%' ? hexOctetAt(path, i + 1) : -1;
            if (octet >= MIN_BEYOND_ASCII) {
                decoded.append((char) octet);
                i += 2;
            } else {
                decoded.append(path.charAt(i));
            }
        }
        return decoded.toString();
    }

    /** Returns the octet of two hexadecimal digits, negative if there are none. */
    private static int hexOctetAt(String text, int position) {
        if (position + 2 > text.length()) {
            return -1;
        }
        int high = Character.digit(text.charAt(position), 16);
        int low = Character.digit(text.charAt(position + 1), 16);
        return high < 0 || low < 0 ? -1 : high << 4 | low;
    }

    private static String percentEncode(String text) {
        StringBuilder encoded = new StringBuilder();
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            char character = (char) (octet & 0xFF);
            if (isKept(character)) {
                encoded.append(character);
            } else {
                encoded.append('%')
                        .append(HEX_DIGITS.charAt(character >> 4))
                        .append(HEX_DIGITS.charAt(character & 0xF));
            }
        }
        return encoded.toString();
    }

    private static boolean isKept(char character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || KEPT.indexOf(character) >= 0;
    }

    /**
     * Decodes a text in UTF-8.
     *
     * @param octets encoded text
     * @return the text
     * @throws CharacterCodingException if the octets are not valid UTF-8, so that decoding them
     *     would lose what tells two texts apart
     */
    public static String decodeUtf8(byte[] octets) throws CharacterCodingException {
        CharBuffer text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(octets));
        return text.toString();
    }
}

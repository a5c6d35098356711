package io.sapphirestack.http;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Grammar of the lines of HTTP/1.1 messages (RFC 9112, sections 4 to 7, and RFC 9110, sections 5
 * and 8.6). Lines are given as received, without their line end, with one character for each octet.
 *
 * <p>The patterns use possessive quantifiers, so that the time and the stack that a line takes do
 * not depend on its content.
 */
public final class HttpSyntax {

    private static final String BLANKS = "[ \\t]*+";
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]";
    private static final String NAME = "[!#$%&'*+.^_`|~0-9A-Za-z-]++";
    private static final String UNESCAPED = "[\\t\\x20\\x21\\x23-\\x5b\\x5d-\\x7e\\x80-\\xff]*+";
    private static final String ESCAPED = "\\\\" + TEXT;
    private static final String QUOTED_STRING =
            "\"" + UNESCAPED + "(?:" + ESCAPED + UNESCAPED + ")*+\"";
    private static final String EXTENSION_VALUE = "(?:" + NAME + "|" + QUOTED_STRING + ")";
    private static final String CHUNK_EXTENSION =
            BLANKS + ";" + BLANKS + NAME + "(?:" + BLANKS + "=" + BLANKS + EXTENSION_VALUE + ")?+";
    private static final String REASON_PHRASE = "(?:[ \\t]" + TEXT + "*+)?+";

    private static final Pattern STATUS_LINE =
            Pattern.compile(
                    BLANKS + "HTTP/1\\.[0-9][ \\t]" + BLANKS + "[1-5][0-9][0-9]" + REASON_PHRASE);
    private static final Pattern TOKEN = Pattern.compile(NAME);
    private static final Pattern FIELD_START = Pattern.compile(NAME + ":");
    private static final Pattern DIGITS = Pattern.compile("[0-9]++");
    private static final Pattern CHUNKED_CODING =
            Pattern.compile("[ \\t,]*+chunked[ \\t,]*+", Pattern.CASE_INSENSITIVE);
    private static final Pattern CHUNK_LINE =
            Pattern.compile("[0-9A-Fa-f]++(?:" + CHUNK_EXTENSION + ")*+");
    private static final Pattern LAST_CHUNK_START = Pattern.compile("0++(?![0-9A-Fa-f])");

    private HttpSyntax() {}

    /**
     * Returns whether a text is a token, such as the name of a field (RFC 9110, section 5.6.2).
     *
     * @param text text
     */
    public static boolean isToken(CharSequence text) {
        return TOKEN.matcher(text).matches();
    }

    /**
     * Returns whether a line is a status line of HTTP/1.x with a status from 100 to 599 (RFC 9112,
     * section 4; RFC 9110, section 15). Blanks around its parts may be several, as section 4
     * allows.
     *
     * @param line line
     */
    static boolean isStatusLine(CharSequence line) {
        return STATUS_LINE.matcher(line).matches();
    }

    /**
     * Returns whether a line begins as a field line does, with a name and a colon (RFC 9112,
     * section 5). A line that continues the one before it does not (section 5.2), nor does one with
     * a blank before the colon (section 5.1). The value is not checked: control characters in it
     * are replaced by spaces when it is sent on (RFC 9110, section 5.5).
     *
     * @param line line
     */
    static boolean isFieldLine(CharSequence line) {
        return FIELD_START.matcher(line).lookingAt();
    }

    /**
     * Returns the value of a {@code Content-Length} field (RFC 9110, section 8.6).
     *
     * @param value value without the blanks around it
     * @return length in bytes, 0 or more; empty if the value is not made of digits alone or exceeds
     *     the largest {@code long}
     */
    public static OptionalLong contentLength(String value) {
        if (!DIGITS.matcher(value).matches()) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(value));
        } catch (NumberFormatException e) {
            // Only a number that is too large has digits alone and fails.
            return OptionalLong.empty();
        }
    }

    /**
     * Returns whether a {@code Transfer-Encoding} field lists the chunked coding alone, without
     * parameters (RFC 9112, section 7.1). Empty elements of the list do not count (RFC 9110,
     * section 5.6.1).
     *
     * @param value value of the field
     */
    static boolean isChunkedAlone(String value) {
        return CHUNKED_CODING.matcher(value).matches();
    }

    /**
     * Returns whether a line contains the size of a chunk and its extensions (RFC 9112, sections
     * 7.1 and 7.1.1).
     *
     * @param line line
     */
    static boolean isChunkLine(CharSequence line) {
        return CHUNK_LINE.matcher(line).matches();
    }

    /**
     * Returns whether a chunk line is that of the last chunk, whose size is 0.
     *
     * @param line chunk line
     */
    static boolean isLastChunkLine(CharSequence line) {
        return LAST_CHUNK_START.matcher(line).lookingAt();
    }
}

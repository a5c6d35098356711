package io.sapphirestack.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;

/**
 * Rules for the fields that tell where the body of a message ends (RFC 9112, section 6; RFC 9110,
 * section 8.6). They hold for requests and responses, and also for messages without a body.
 */
public final class MessageFraming {

    private static final String CHUNKED = "chunked";

    private MessageFraming() {}

    /** What is wrong with the framing of a message. */
    public enum Fault {

        /** Several lengths or transfer codings, between which two parsers could choose. */
        AMBIGUOUS_LENGTH("the length of the body is ambiguous"),

        /** A length that is not made of digits alone, or exceeds the largest {@code long}. */
        INVALID_LENGTH("the length of the body is not a number"),

        /** A transfer coding of an HTTP/1.0 message (RFC 9112, section 6.1). */
        CODING_OF_HTTP_1_0("HTTP/1.0 has no transfer encoding"),

        /** A transfer coding other than a single {@code chunked}. */
        UNSUPPORTED_CODING("the only supported transfer encoding is chunked");

        private final String description;

        Fault(String description) {
            this.description = description;
        }

        /** Returns what is wrong, as the text of an error. */
        public String description() {
            return description;
        }
    }

    /**
     * Returns what is wrong with the framing of a message, empty if nothing is.
     *
     * @param message message whose head is complete
     */
    public static Optional<Fault> faultOf(HttpMessage message) {
        Header[] lengths = message.getHeaders(HttpHeaders.CONTENT_LENGTH);
        Header[] codings = message.getHeaders(HttpHeaders.TRANSFER_ENCODING);
        if (lengths.length > 1 || codings.length > 1 || lengths.length + codings.length > 1) {
            return Optional.of(Fault.AMBIGUOUS_LENGTH);
        }
        if (codings.length > 0) {
            return faultOfCoding(message, valueOf(codings[0]));
        }
        boolean isValid =
                lengths.length == 0 || HttpSyntax.contentLength(valueOf(lengths[0])).isPresent();
        return isValid ? Optional.empty() : Optional.of(Fault.INVALID_LENGTH);
    }

    private static Optional<Fault> faultOfCoding(HttpMessage message, String value) {
        if (message.getVersion() != null && message.getVersion().lessEquals(HttpVersion.HTTP_1_0)) {
            return Optional.of(Fault.CODING_OF_HTTP_1_0);
        }
        List<String> elements = elementsOf(value);
        boolean isChunked = elements.size() == 1 && elements.get(0).equalsIgnoreCase(CHUNKED);
        return isChunked ? Optional.empty() : Optional.of(Fault.UNSUPPORTED_CODING);
    }

    /** Returns the elements of a list without the empty ones (RFC 9110, section 5.6.1). */
    private static List<String> elementsOf(String value) {
        List<String> elements = new ArrayList<>();
        for (String element : value.split(",")) {
            String stripped = stripBlanks(element);
            if (!stripped.isEmpty()) {
                elements.add(stripped);
            }
        }
        return elements;
    }

    /** Strips spaces and tabs, unlike {@link String#trim()}, which also strips controls. */
    private static String stripBlanks(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }

    private static String valueOf(Header header) {
        return header.getValue() == null ? "" : header.getValue();
    }
}

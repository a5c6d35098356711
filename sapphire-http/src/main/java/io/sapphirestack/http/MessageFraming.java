package io.sapphirestack.http;

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
        if (lengths.length + codings.length > 1) {
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
        return HttpSyntax.isChunkedAlone(value)
                ? Optional.empty()
                : Optional.of(Fault.UNSUPPORTED_CODING);
    }

    private static String valueOf(Header header) {
        return header.getValue() == null ? "" : header.getValue();
    }
}

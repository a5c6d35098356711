package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.HeaderText;
import io.sapphirestack.http.HttpSyntax;
import io.sapphirestack.http.MessageFraming;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;

/**
 * Rejects requests that the HTTP library accepts but that another HTTP implementation could frame
 * differently (request smuggling), and requests above the limits. The connection of a rejected
 * request is closed, so that the rest of its bytes is not parsed as another request.
 */
final class RequestChecks {

    /** Colon and line end of a header line; the space after the colon is optional. */
    private static final int MIN_SEPARATOR_BYTES = 3;

    private RequestChecks() {}

    /**
     * Reason to reject a request.
     *
     * @param status status code
     * @param reason what is wrong; sent to the caller as the body
     */
    record Rejection(int status, String reason) {}

    static Optional<Rejection> check(HttpRequest request, CallerLimits limits) {
        Optional<MessageFraming.Fault> fault = MessageFraming.faultOf(request);
        if (fault.isPresent()) {
            return fault.map(RequestChecks::rejectionOf);
        }
        Header length = request.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null && Long.parseLong(length.getValue()) > limits.bodyBytes()) {
            return Optional.of(new Rejection(413, "the body is too large"));
        }
        if (request.countHeaders(HttpHeaders.HOST) != 1) {
            return Optional.of(new Rejection(400, "exactly one Host header field is required"));
        }
        return checkHeaderSize(request, limits);
    }

    private static Rejection rejectionOf(MessageFraming.Fault fault) {
        int status = fault == MessageFraming.Fault.UNSUPPORTED_CODING ? 501 : 400;
        return new Rejection(status, fault.description());
    }

    private static Optional<Rejection> checkHeaderSize(HttpRequest request, CallerLimits limits) {
        int bytes = request.getRequestUri().length();
        if (request.getRequestUri().chars().anyMatch(HeaderText::isControl)) {
            return Optional.of(new Rejection(400, "the path contains a control character"));
        }
        for (Header header : request.getHeaders()) {
            String value = header.getValue();
            if (!HttpSyntax.isToken(header.getName())
                    || value != null && hasControlCharacter(value)) {
                return Optional.of(
                        new Rejection(400, "a header field contains an invalid character"));
            }
            bytes +=
                    header.getName().length()
                            + (value == null ? 0 : value.length())
                            + MIN_SEPARATOR_BYTES;
        }
        return bytes > limits.headerBytes()
                ? Optional.of(new Rejection(431, "the header is too large"))
                : Optional.empty();
    }

    private static boolean hasControlCharacter(String value) {
        return value.chars().anyMatch(c -> HeaderText.isControl(c) && c != '\t');
    }
}

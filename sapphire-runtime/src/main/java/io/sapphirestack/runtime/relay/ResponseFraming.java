package io.sapphirestack.runtime.relay;

import java.util.Optional;
import org.apache.hc.core5.http.HttpHeaders;

/** Rules for the length of a response and for the reuse of its connection. */
final class ResponseFraming {

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private ResponseFraming() {}

    /** Returns whether a status never has a body. */
    static boolean isWithoutBody(int status) {
        return status == NO_CONTENT || status == NOT_MODIFIED;
    }

    /** Returns whether the end of the body is known without the end of the connection. */
    static boolean hasKnownLength(UpstreamResponseHead head) {
        return head.header(HttpHeaders.CONTENT_LENGTH).isPresent()
                || head.header(HttpHeaders.TRANSFER_ENCODING).isPresent()
                || isWithoutBody(head.status());
    }

    /** Returns whether the connection stays open after the response. */
    static boolean keepsConnection(UpstreamResponseHead head, boolean isHttp11) {
        return isHttp11
                && hasKnownLength(head)
                && head.headers().stream()
                        .filter(field -> field.name().equalsIgnoreCase(HttpHeaders.CONNECTION))
                        .noneMatch(field -> hasToken(field.value(), "close"));
    }

    private static boolean hasToken(String value, String token) {
        for (String part : value.split(",")) {
            if (part.trim().equalsIgnoreCase(token)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the keep-alive timeout that an endpoint announced, in milliseconds, if any. */
    static Optional<Long> keepAliveTimeoutMs(UpstreamResponseHead head) {
        return head.header(HttpHeaders.KEEP_ALIVE).flatMap(ResponseFraming::timeoutMs);
    }

    private static Optional<Long> timeoutMs(String value) {
        for (String part : value.split(",")) {
            String[] pair = part.trim().split("=");
            if (pair.length == 2
                    && pair[0].equalsIgnoreCase("timeout")
                    && pair[1].matches("[0-9]{1,6}")) {
                return Optional.of(Long.parseLong(pair[1]) * 1_000);
            }
        }
        return Optional.empty();
    }
}

package io.sapphirestack.runtime.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Complete response to a caller.
 *
 * @param status status code
 * @param headers header fields, without those for the length and encoding of the body
 * @param body body
 * @param reason why this system generated the response, empty for a response of an endpoint
 */
record RelayResponse(int status, List<HeaderField> headers, byte[] body, String reason) {

    private static final int NOT_RUN = 503;

    /** Statuses by which a response promises that the request has not run and will not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, NOT_RUN);

    private static final int OUTCOME_UNKNOWN = 502;
    private static final int TIMED_OUT = 504;

    /**
     * Returns the response of an endpoint that may have run the request. A status that would
     * promise the caller that the request did not run is replaced, because the endpoint did not
     * state that.
     */
    static RelayResponse ofEndpoint(UpstreamResponseHead head, byte[] body) {
        return NOT_RUN_STATUSES.contains(head.status())
                ? outcomeUnknown(
                        "the endpoint responded "
                                + head.status()
                                + " without stating that the request did not run")
                : new RelayResponse(head.status(), head.forwardedHeaders(), body, "");
    }

    /** Returns a plain-text response whose body is the reason. */
    static RelayResponse generated(int status, String reason) {
        return new RelayResponse(
                status,
                List.of(new HeaderField("Content-Type", "text/plain; charset=utf-8")),
                (reason + "\n").getBytes(StandardCharsets.UTF_8),
                reason);
    }

    /**
     * Returns a 503 for a request that has not run and will not run, so the caller may resend it.
     *
     * @param retryAfterMs value of Retry-After, in milliseconds
     */
    static RelayResponse notRun(String reason, long retryAfterMs) {
        RelayResponse response = generated(NOT_RUN, reason);
        List<HeaderField> headers = new ArrayList<>(response.headers());
        String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000.0);
        headers.add(new HeaderField("Retry-After", seconds));
        return new RelayResponse(response.status(), headers, response.body(), reason);
    }

    /**
     * Returns the response to a request that has not run, because all endpoints have received the
     * requests that they take.
     *
     * @param retryAfterMs time until an endpoint may take more, in milliseconds
     */
    static RelayResponse rateLimited(long retryAfterMs) {
        return notRun("the rate limits that the endpoints name are used up", retryAfterMs);
    }

    /** Returns a 502 for a request that may have run and whose response is not known. */
    static RelayResponse outcomeUnknown(String reason) {
        return generated(OUTCOME_UNKNOWN, reason);
    }

    /** Returns a 504 for a request whose deadline has passed and that may have run. */
    static RelayResponse timedOut(String reason) {
        return generated(TIMED_OUT, reason);
    }
}

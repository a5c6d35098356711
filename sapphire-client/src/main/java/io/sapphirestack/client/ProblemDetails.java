package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Problem details of a refusal, as in RFC 9457.
 *
 * @param status HTTP status
 * @param code stable machine-readable code
 * @param detail explanation for people
 * @param step operation that refused
 * @param peer remote address of that operation
 * @param executed whether the request was executed: {@code no}, {@code yes} or {@code unknown}
 * @param body whole JSON object, with fields that only some refusals have
 */
public record ProblemDetails(
        int status,
        String code,
        String detail,
        String step,
        String peer,
        String executed,
        JsonNode body) {

    /** Code of a refusal that all instances give, because the request crashes endpoints. */
    private static final String QUARANTINED = "request_quarantined";

    /** Code of a generation that was ended before its output was complete. */
    static final String GENERATION_FAILED = "generation_failed";

    /**
     * Reads problem details. A missing {@code detail} becomes empty, other missing texts {@code
     * unknown}.
     *
     * @param status HTTP status
     * @param body JSON object, possibly missing
     * @return problem details
     */
    public static ProblemDetails of(int status, JsonNode body) {
        return new ProblemDetails(
                status,
                body.path("code").asText("unknown"),
                body.path("detail").asText(""),
                body.path("step").asText("unknown"),
                body.path("peer").asText("unknown"),
                body.path("ran").asText("unknown"),
                body);
    }

    /** Returns whether the request was not executed and another address may accept it. */
    public boolean isRetryableAtAnotherAddress() {
        return status == 503 && executed.equals("no") && !code.equals(QUARANTINED);
    }
}

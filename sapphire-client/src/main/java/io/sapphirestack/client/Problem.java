package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Problem details of a refusal.
 *
 * @param status HTTP status
 * @param code stable machine-readable code
 * @param detail explanation
 * @param step operation that refused
 * @param peer other side of that operation
 * @param ran {@code no}, {@code yes} or {@code unknown}
 * @param body whole JSON object, with fields that only some refusals have
 */
public record Problem(
        int status,
        String code,
        String detail,
        String step,
        String peer,
        String ran,
        JsonNode body) {

    /**
     * Reads problem details; fields that are missing become {@code unknown} or empty.
     *
     * @param status HTTP status
     * @param body JSON object, possibly missing
     * @return problem details
     */
    public static Problem of(int status, JsonNode body) {
        return new Problem(
                status,
                body.path("code").asText("unknown"),
                body.path("detail").asText(""),
                body.path("step").asText("unknown"),
                body.path("peer").asText("unknown"),
                body.path("ran").asText("unknown"),
                body);
    }

    /** Returns whether another address may accept what this one refused. */
    public boolean isWorthAnotherAddress() {
        return status == 503 && ran.equals("no");
    }
}

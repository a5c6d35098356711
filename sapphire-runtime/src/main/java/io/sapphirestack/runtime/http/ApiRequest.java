package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;

/** Request that was matched to a route. Used by one thread. */
final class ApiRequest {

    static final int MAX_KEY_CHARS = 256;
    private static final long MAX_DEADLINE_MS = 24L * 3_600_000;

    private final ClassicHttpRequest request;
    private final Map<String, String> pathParameters;
    private final Map<String, String> query;
    private final String rawQuery;
    private final long receivedAtMs;
    private final BodyReader bodyReader;

    /** Reads the body, up to the limit. */
    interface BodyReader {
        byte[] read() throws IOException, RefusedException;
    }

    ApiRequest(
            ClassicHttpRequest request,
            Map<String, String> pathParameters,
            Map<String, String> query,
            String rawQuery,
            long receivedAtMs,
            BodyReader bodyReader) {
        this.request = request;
        this.pathParameters = pathParameters;
        this.query = query;
        this.rawQuery = rawQuery;
        this.receivedAtMs = receivedAtMs;
        this.bodyReader = bodyReader;
    }

    String path(String name) {
        return pathParameters.get(name);
    }

    Optional<String> query(String name) {
        return Optional.ofNullable(query.get(name));
    }

    /** Returns the query as it was sent, without the question mark; empty if there is none. */
    String rawQuery() {
        return rawQuery;
    }

    long receivedAtMs() {
        return receivedAtMs;
    }

    Optional<String> header(String name) {
        Header header = request.getFirstHeader(name);
        return header == null ? Optional.empty() : Optional.ofNullable(header.getValue());
    }

    Optional<String> bearerKey() {
        String prefix = "Bearer ";
        return header("Authorization")
                .filter(value -> value.regionMatches(true, 0, prefix, 0, prefix.length()))
                .map(value -> value.substring(prefix.length()).trim());
    }

    Optional<String> idempotencyKey() throws RefusedException {
        Optional<String> key = header("Idempotency-Key");
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_CHARS)) {
            throw badRequest("Idempotency-Key must have 1 to " + MAX_KEY_CHARS + " characters.");
        }
        return key;
    }

    /** Returns the time in milliseconds within which the caller wants the answer, if given. */
    OptionalLong deadlineMs() throws RefusedException {
        Optional<String> text = header("Sapphire-Deadline-Ms");
        return text.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(number("Sapphire-Deadline-Ms", text.get(), 1, MAX_DEADLINE_MS));
    }

    /** Returns a number of the query. */
    OptionalLong queryNumber(String name, long min, long max) throws RefusedException {
        Optional<String> text = query(name);
        return text.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(number(name, text.get(), min, max));
    }

    static long number(String name, String text, long min, long max) throws RefusedException {
        try {
            long value = Long.parseLong(text.trim());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new RefusedException(numberRefusal(name, text, min, max), e);
        }
        throw new RefusedException(numberRefusal(name, text, min, max));
    }

    private static Refusal numberRefusal(String name, String text, long min, long max) {
        String shown = text.length() > 40 ? text.substring(0, 40) : text;
        return Refusal.notExecuted(
                400,
                "bad_request",
                "parse",
                name + " must be a number from " + min + " to " + max + " but is " + shown + ".");
    }

    String contentType() {
        return header("Content-Type").orElse("application/octet-stream");
    }

    byte[] body() throws IOException, RefusedException {
        return bodyReader.read();
    }

    JsonNode json() throws IOException, RefusedException {
        byte[] bytes = body();
        try {
            JsonNode node = ApiJson.MAPPER.readTree(bytes);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (JsonProcessingException e) {
            throw badRequest("The body is not valid JSON: " + e.getOriginalMessage() + ".");
        }
        throw badRequest("The body must be a JSON object.");
    }

    static RefusedException badRequest(String detail) {
        return new RefusedException(Refusal.notExecuted(400, "bad_request", "parse", detail));
    }

    static RefusedException notFound(String detail) {
        return new RefusedException(Refusal.notExecuted(404, "not_found", "look-up", detail));
    }
}

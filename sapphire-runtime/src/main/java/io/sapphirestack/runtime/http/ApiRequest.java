package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.limit.ByteBudget;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;

/** HTTP request that was matched to a route. Not thread-safe. */
final class ApiRequest {

    static final int MAX_KEY_CHARS = 256;
    private static final long MAX_TIMEOUT_MS = 24L * 3_600_000;

    private final ClassicHttpRequest request;
    private final Map<String, String> pathParameters;
    private final Map<String, String> queryParameters;
    private final String rawQuery;
    private final long receivedAtMs;
    private final BodyReader bodyReader;
    private final ByteBudget.Lease memory;

    /** Reads the request body. A body above the size limit is refused. */
    interface BodyReader {
        byte[] read() throws IOException, RefusedException;
    }

    ApiRequest(
            ClassicHttpRequest request,
            Map<String, String> pathParameters,
            Map<String, String> queryParameters,
            String rawQuery,
            long receivedAtMs,
            BodyReader bodyReader,
            ByteBudget.Lease memory) {
        this.request = request;
        this.pathParameters = pathParameters;
        this.queryParameters = queryParameters;
        this.rawQuery = rawQuery;
        this.receivedAtMs = receivedAtMs;
        this.bodyReader = bodyReader;
        this.memory = memory;
    }

    /**
     * Takes memory for the response, which returns to the budget when the response has been sent.
     *
     * @param bytes size of the response, in bytes
     * @return whether it was available
     */
    boolean reserveMemory(int bytes) {
        return memory.tryReserve(bytes);
    }

    String pathParameter(String name) {
        return pathParameters.get(name);
    }

    Optional<String> queryParameter(String name) {
        return Optional.ofNullable(queryParameters.get(name));
    }

    /** Returns the undecoded query without the question mark; empty if there is none. */
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

    /**
     * Returns the value of the header {@code Sapphire-Deadline-Ms}, a timeout in milliseconds from
     * the receipt of the request; empty if it is absent.
     */
    OptionalLong timeoutMs() throws RefusedException {
        Optional<String> text = header("Sapphire-Deadline-Ms");
        return text.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(
                        parseNumber("Sapphire-Deadline-Ms", text.get(), 1, MAX_TIMEOUT_MS));
    }

    /** Returns a query parameter as a number; empty if it is absent. */
    OptionalLong queryNumber(String name, long min, long max) throws RefusedException {
        Optional<String> text = queryParameter(name);
        return text.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(parseNumber(name, text.get(), min, max));
    }

    static long parseNumber(String name, String text, long min, long max) throws RefusedException {
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

    JsonNode jsonObject() throws IOException, RefusedException {
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

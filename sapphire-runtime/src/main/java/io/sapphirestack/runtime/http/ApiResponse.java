package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.error.Refusal;
import java.io.IOException;
import java.io.OutputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Response to a request, with a body in memory or one that is streamed. Not thread-safe. */
final class ApiResponse {

    private final int status;
    private final String contentType;
    private final byte[] body;
    private final BodyWriter writer;
    private final Map<String, String> headers = new LinkedHashMap<>();
    private Runnable onCompletion = () -> {};

    /** Writes a body whose length is not known in advance. */
    interface BodyWriter {
        void writeTo(OutputStream out) throws IOException;
    }

    private ApiResponse(int status, String contentType, byte[] body, BodyWriter writer) {
        this.status = status;
        this.contentType = contentType;
        this.body = body;
        this.writer = writer;
    }

    static ApiResponse empty(int status) {
        return new ApiResponse(status, null, null, null);
    }

    static ApiResponse bytes(int status, String contentType, byte[] body) {
        return new ApiResponse(status, contentType, body, null);
    }

    static ApiResponse json(int status, Object body) {
        try {
            return bytes(status, "application/json", ApiJson.MAPPER.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize " + body.getClass(), e);
        }
    }

    static ApiResponse stream(String contentType, BodyWriter writer) {
        return new ApiResponse(200, contentType, null, writer);
    }

    static ApiResponse problem(Refusal refusal) {
        return problem(refusal, problemBody(refusal));
    }

    static ApiResponse problem(Refusal refusal, ObjectNode body) {
        try {
            ApiResponse response =
                    bytes(
                            refusal.status(),
                            "application/problem+json",
                            ApiJson.MAPPER.writeValueAsBytes(body));
            if (refusal.retryAfterMs() > 0) {
                response.header(
                        "Retry-After", Long.toString((refusal.retryAfterMs() + 999) / 1_000));
            } else if (refusal.status() == 429 || refusal.status() == 503) {
                response.header("Retry-After", "1");
            }
            return response;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize problem details", e);
        }
    }

    /** Returns problem details as a new object, to which fields may be added. */
    static ObjectNode problemBody(Refusal refusal) {
        return ApiJson.MAPPER
                .createObjectNode()
                .put("type", "about:blank")
                .put("title", ReasonPhrases.of(refusal.status()))
                .put("status", refusal.status())
                .put("detail", refusal.detail())
                .put("code", refusal.code())
                .put("step", refusal.step())
                .put("peer", refusal.peer())
                .put("ran", refusal.executed().name().toLowerCase(Locale.ROOT));
    }

    ApiResponse header(String name, String value) {
        headers.put(name, value);
        return this;
    }

    /** Sets an action to run after the response was sent or sending it failed. */
    ApiResponse onCompletion(Runnable action) {
        onCompletion = action;
        return this;
    }

    Runnable onCompletion() {
        return onCompletion;
    }

    int status() {
        return status;
    }

    String contentType() {
        return contentType;
    }

    byte[] body() {
        return body;
    }

    BodyWriter writer() {
        return writer;
    }

    Map<String, String> headers() {
        return headers;
    }
}

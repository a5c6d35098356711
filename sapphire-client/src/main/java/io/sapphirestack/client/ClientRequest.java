package io.sapphirestack.client;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Request to the HTTP interface. It may be sent to several addresses in turn, so it must be
 * idempotent by its method or by a key in its headers.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers additional headers
 * @param contentType media type of the body; ignored without a body
 * @param body request body, empty for none
 */
public record ClientRequest(
        String method, String path, Map<String, String> headers, String contentType, byte[] body) {

    private static final byte[] NO_BODY = new byte[0];

    /** Copies the headers. */
    public ClientRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a request without a body.
     *
     * @param method HTTP method
     * @param path path with query
     * @return the request
     */
    public static ClientRequest of(String method, String path) {
        return new ClientRequest(method, path, Map.of(), "application/json", NO_BODY);
    }

    /**
     * Returns a copy with one more header.
     *
     * @param name header name
     * @param value header value
     * @return the copy
     */
    public ClientRequest withHeader(String name, String value) {
        Map<String, String> more = new LinkedHashMap<>(headers);
        more.put(name, value);
        return new ClientRequest(method, path, more, contentType, body);
    }

    /**
     * Returns a copy with a body.
     *
     * @param newContentType media type
     * @param newBody bytes of the body
     * @return the copy
     */
    public ClientRequest withBody(String newContentType, byte[] newBody) {
        return new ClientRequest(method, path, headers, newContentType, newBody);
    }
}

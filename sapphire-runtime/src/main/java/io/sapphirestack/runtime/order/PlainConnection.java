package io.sapphirestack.runtime.order;

import io.sapphirestack.runtime.endpoint.EndpointException;
import java.util.Map;

/** Open connection to an endpoint of a plain service. Not thread-safe. */
public interface PlainConnection extends AutoCloseable {

    /**
     * Sends a request and receives the complete response.
     *
     * @param method HTTP method
     * @param path path with query
     * @param headers header fields
     * @param body request body, or {@code null} for none
     * @return the response
     * @throws EndpointException if no complete response was received; the request may have been
     *     executed unless {@link EndpointException#maybeSent()} is false
     */
    PlainResponse send(String method, String path, Map<String, String> headers, byte[] body)
            throws EndpointException;

    @Override
    void close();
}

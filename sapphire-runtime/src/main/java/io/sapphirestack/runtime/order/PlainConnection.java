package io.sapphirestack.runtime.order;

import io.sapphirestack.runtime.endpoint.EndpointException;
import java.util.Map;

/** Open connection to a plain service. Not thread-safe. */
public interface PlainConnection extends AutoCloseable {

    /**
     * Sends a request and receives the whole answer.
     *
     * @param method HTTP method
     * @param path path with query
     * @param headers header fields
     * @param body body, or {@code null} for none
     * @return the answer
     * @throws EndpointException if there is no whole answer; the request may have been executed
     *     unless {@link EndpointException#maybeSent()} is false
     */
    PlainAnswer send(String method, String path, Map<String, String> headers, byte[] body)
            throws EndpointException;

    @Override
    void close();
}

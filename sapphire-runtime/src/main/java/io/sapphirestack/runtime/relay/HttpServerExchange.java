package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.ByteBudget;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;

/** HTTP request that this process serves, and its response. Used by one thread. */
public interface HttpServerExchange {

    /** Returns the HTTP method. */
    String method();

    /** Returns the request target as the caller sent it: path and query. */
    String target();

    /** Returns the header fields of the request in the order of arrival. */
    List<HeaderField> headers();

    /**
     * Returns the whole body of the request, of length 0 if there is none. The array is not copied,
     * so it must not be changed.
     */
    byte[] body();

    /**
     * Returns the memory of the request and its response. It is released after the response was
     * sent.
     */
    ByteBudget.Lease memory();

    /** Returns when the whole request had arrived, in milliseconds of the monotonic clock. */
    long receivedAtMs();

    /**
     * Returns the value of a header field.
     *
     * @param name name of the field
     * @return first value, or empty if the field is absent
     */
    default Optional<String> header(String name) {
        return headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }

    /** Returns whether the caller has closed its connection. */
    boolean isCallerDisconnected();

    /**
     * Sends a complete response.
     *
     * @param status status code
     * @param headers header fields, without those for the length and encoding of the body
     * @param body body
     * @throws IOException if the connection to the caller fails
     */
    void sendResponse(int status, List<HeaderField> headers, byte[] body) throws IOException;

    /**
     * Sends a response of unknown length with chunked encoding. If writing the body fails, the
     * connection is closed without the last chunk, so that the caller detects the truncation.
     *
     * @param status status code
     * @param headers header fields, without those for the length and encoding of the body
     * @param body writes the body; each flush sends the bytes to the caller
     * @throws IOException if the connection to the caller fails or writing the body fails
     */
    void sendStream(int status, List<HeaderField> headers, StreamingBody body) throws IOException;

    /** Writes the body of a streamed response. */
    @FunctionalInterface
    interface StreamingBody {

        /**
         * Writes the body.
         *
         * @param out stream to the caller
         * @throws IOException if the body cannot be completed
         */
        void writeTo(OutputStream out) throws IOException;
    }

    /** Handles the requests of a listener. */
    @FunctionalInterface
    interface Handler {

        /**
         * Handles one request and sends its response.
         *
         * @param exchange request and its response
         * @throws IOException if the connection must be closed
         */
        void handle(HttpServerExchange exchange) throws IOException;
    }
}

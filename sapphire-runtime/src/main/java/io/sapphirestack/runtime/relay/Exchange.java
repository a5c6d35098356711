package io.sapphirestack.runtime.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;

/** One request of a caller and its answer. Used by one thread. */
public interface Exchange {

    /** Returns the method. */
    String method();

    /** Returns the request target as the caller sent it: path and query. */
    String target();

    /** Returns the header fields in the order in which they came. */
    List<HeaderField> headers();

    /** Returns the whole body, empty if there is none. */
    byte[] body();

    /** Returns when the header was complete, on the monotonic clock in milliseconds. */
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
    boolean isCallerGone();

    /**
     * Sends a whole answer.
     *
     * @param status status code
     * @param headers header fields, without those that frame the body
     * @param body body
     * @throws IOException if the caller cannot be reached
     */
    void answer(int status, List<HeaderField> headers, byte[] body) throws IOException;

    /**
     * Sends an answer whose length is not known yet. If the body fails, the connection ends so that
     * the answer does not look complete.
     *
     * @param status status code
     * @param headers header fields, without those that frame the body
     * @param body writes the body; each flush reaches the caller
     * @throws IOException if the caller cannot be reached or the body fails
     */
    void stream(int status, List<HeaderField> headers, StreamedBody body) throws IOException;

    /** Writes the body of a streamed answer. */
    @FunctionalInterface
    interface StreamedBody {

        /**
         * Writes the body.
         *
         * @param out takes the bytes
         * @throws IOException if the body cannot be completed
         */
        void writeTo(OutputStream out) throws IOException;
    }

    /** Serves exchanges. */
    @FunctionalInterface
    interface Handler {

        /**
         * Answers one request.
         *
         * @param exchange request and answer
         * @throws IOException if the connection has to end
         */
        void handle(Exchange exchange) throws IOException;
    }
}

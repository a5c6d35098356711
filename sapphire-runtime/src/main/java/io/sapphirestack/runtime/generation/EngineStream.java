package io.sapphirestack.runtime.generation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.runtime.endpoint.EndpointConnection;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Reader of the server-sent events of one attempt. Not thread-safe, except that {@link #close()}
 * may be called from any thread to abort a read.
 */
final class EngineStream implements Closeable {

    /** One event of the stream. */
    sealed interface Event {}

    /** A token and its offset in the output. */
    record Token(long offset, String text) implements Event {}

    /** A comment that the engine sends while it has no token. */
    record KeepAlive() implements Event {}

    /** End of the output, with the reason. */
    record End(String finishReason) implements Event {}

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final KeepAlive KEEP_ALIVE = new KeepAlive();

    /** Maximum size of one event, and of what the reader reads ahead of it, in bytes. */
    private static final int MAX_EVENT_BYTES = 262_144;

    private final EndpointConnection connection;
    private final CountingInputStream input;
    private final BufferedReader reader;
    private final long eventTimeoutMs;

    /**
     * Creates a reader.
     *
     * @param connection connection that carries the stream
     * @param body content of the response
     * @param eventTimeoutMs longest time for one event, in milliseconds
     */
    EngineStream(EndpointConnection connection, InputStream body, long eventTimeoutMs) {
        this.connection = connection;
        this.input = new CountingInputStream(body);
        this.reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8));
        this.eventTimeoutMs = eventTimeoutMs;
    }

    /** Fails after {@link #MAX_EVENT_BYTES} without an event. */
    private static final class CountingInputStream extends FilterInputStream {

        private long eventBytes;

        CountingInputStream(InputStream in) {
            super(in);
        }

        void beginEvent() {
            eventBytes = 0;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            int count = super.read(buffer, offset, length);
            eventBytes += Math.max(0, count);
            if (eventBytes > MAX_EVENT_BYTES) {
                throw new IOException("an event has more than " + MAX_EVENT_BYTES + " bytes");
            }
            return count;
        }
    }

    /**
     * Waits for the next event.
     *
     * @return the event
     * @throws EndpointException if the read timed out, the connection failed, or an event was
     *     malformed or too large
     */
    Event next() throws EndpointException {
        try {
            input.beginEvent();
            // Single bytes that keep arriving must not hold the thread.
            connection.limitBodyTime(eventTimeoutMs);
            return readEvent();
        } catch (SocketTimeoutException e) {
            throw new EndpointException(
                    "receive", connection.address(), "read timed out", true, true, e);
        } catch (IOException | RuntimeException e) {
            throw new EndpointException(
                    "receive",
                    connection.address(),
                    "connection failed or event is malformed",
                    true,
                    false,
                    e);
        }
    }

    private Event readEvent() throws IOException {
        long offset = -1;
        String event = "";
        String data = "";
        while (true) {
            String line = reader.readLine();
            if (line == null) {
                throw new IOException("engine closed the stream before the end event");
            }
            if (line.startsWith(":")) {
                return KEEP_ALIVE;
            } else if (line.startsWith("id:")) {
                offset = Long.parseLong(line.substring(3).trim());
            } else if (line.startsWith("event:")) {
                event = line.substring(6).trim();
            } else if (line.startsWith("data:")) {
                data = line.substring(5).trim();
            } else if (line.isEmpty() && !data.isEmpty()) {
                return parse(offset, event, MAPPER.readTree(data));
            }
        }
    }

    private static Event parse(long offset, String event, JsonNode data) throws IOException {
        if (event.equals("end")) {
            String reason = data.path("finishReason").asText("stop");
            return new End(reason.isEmpty() ? "stop" : reason);
        }
        if (offset < 0 || !data.path("token").isTextual()) {
            throw new IOException("event has no id field or no token");
        }
        return new Token(offset, data.path("token").textValue());
    }

    @Override
    public void close() {
        connection.close();
    }
}

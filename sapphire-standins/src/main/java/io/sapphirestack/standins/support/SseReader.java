package io.sapphirestack.standins.support;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Parses server-sent events from a response body. Not thread-safe. */
public final class SseReader {

    private final BufferedReader reader;

    /**
     * Creates a reader.
     *
     * @param content body of the response
     */
    public SseReader(InputStream content) {
        this.reader = new BufferedReader(new InputStreamReader(content, StandardCharsets.UTF_8));
    }

    /**
     * Reads the next event or comment line.
     *
     * @return the event, or empty at the end of the stream; an incomplete last event is dropped
     * @throws IOException if the connection fails, or no data arrives within its read timeout
     */
    public Optional<SseEvent> readNext() throws IOException {
        String id = "";
        String event = "";
        StringBuilder data = new StringBuilder();
        boolean hasFields = false;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                if (hasFields) {
                    return Optional.of(new SseEvent(id, event, data.toString(), false));
                }
            } else if (line.startsWith(":")) {
                return Optional.of(new SseEvent("", "", "", true));
            } else {
                hasFields = true;
                int colon = line.indexOf(':');
                String field = colon < 0 ? line : line.substring(0, colon);
                String value = colon < 0 ? "" : line.substring(colon + 1);
                value = value.startsWith(" ") ? value.substring(1) : value;
                switch (field) {
                    case "id" -> id = value;
                    case "event" -> event = value;
                    case "data" -> data.append(data.length() == 0 ? "" : "\n").append(value);
                    default -> {
                        // The event-stream format tells readers to ignore unknown fields.
                    }
                }
            }
        }
        return Optional.empty();
    }
}

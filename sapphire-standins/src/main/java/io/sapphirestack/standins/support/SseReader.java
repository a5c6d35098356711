package io.sapphirestack.standins.support;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Reads server-sent events from a response. Not thread-safe. */
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
     * @return the event, or empty at the end of the stream; an event cut off by the end is dropped
     * @throws IOException if the connection fails or is silent beyond its timeout
     */
    public Optional<SseEvent> next() throws IOException {
        String id = "";
        String event = "";
        StringBuilder data = new StringBuilder();
        boolean any = false;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            if (line.isEmpty()) {
                if (any) {
                    return Optional.of(new SseEvent(id, event, data.toString(), false));
                }
            } else if (line.startsWith(":")) {
                return Optional.of(new SseEvent("", "", "", true));
            } else {
                any = true;
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

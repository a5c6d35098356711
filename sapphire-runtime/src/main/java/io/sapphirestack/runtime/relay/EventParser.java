package io.sapphirestack.runtime.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits the bytes of a stream of server-sent events into whole events. It holds back an incomplete
 * event, because the endpoint may fail before the rest arrives. Not thread-safe.
 */
final class EventParser {

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /**
     * Complete event.
     *
     * @param id value of its {@code id} field, empty if the field is absent or not a number
     * @param bytes the event as received, with the blank line that ends it
     */
    record Event(Optional<Long> id, byte[] bytes) {}

    /**
     * Parses the next bytes of the stream.
     *
     * @param buffer received bytes
     * @param length number of bytes in the buffer to parse
     * @return events that these bytes complete, in order, possibly none
     */
    List<Event> parse(byte[] buffer, int length) {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            pending.write(buffer[i]);
            if (buffer[i] == '\n' && endsWithBlankLine()) {
                byte[] bytes = pending.toByteArray();
                pending.reset();
                events.add(new Event(idOf(bytes), bytes));
            }
        }
        return events;
    }

    /** Returns whether the last event is incomplete. */
    boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    private boolean endsWithBlankLine() {
        byte[] bytes = pending.toByteArray();
        int end = bytes.length;
        if (end >= 2 && bytes[end - 2] == '\n') {
            return true;
        }
        return end >= 4 && bytes[end - 2] == '\r' && bytes[end - 3] == '\n';
    }

    private static Optional<Long> idOf(byte[] bytes) {
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith("id:")) {
                String value = line.substring("id:".length()).trim();
                return value.matches("[0-9]{1,18}")
                        ? Optional.of(Long.parseLong(value))
                        : Optional.empty();
            }
        }
        return Optional.empty();
    }
}

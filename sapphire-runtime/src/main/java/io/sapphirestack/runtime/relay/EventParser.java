package io.sapphirestack.runtime.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Splits a stream into whole events. Bytes of an event that is not complete are held back, because
 * its endpoint may stop in the middle. Not thread-safe.
 */
final class EventParser {

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /**
     * One whole event.
     *
     * @param id its number, if it has one
     * @param bytes the event with its blank line
     */
    record Event(Optional<Long> id, byte[] bytes) {}

    /** Takes bytes; returns the events that they complete. */
    List<Event> feed(byte[] buffer, int length) {
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

    /** Returns whether an event has begun and is not complete. */
    boolean isWithinEvent() {
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

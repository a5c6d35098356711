package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.runtime.connection.BoundedBuffer;
import io.sapphirestack.runtime.connection.MessageLimit;
import io.sapphirestack.runtime.connection.MessageLimitException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Splits the bytes of a stream of server-sent events into whole events. It holds back an incomplete
 * event, because the endpoint may fail before the rest arrives. Comments and blank lines are not
 * events of their own; they are passed on with the event that follows them. Not thread-safe.
 */
final class EventParser {

    private final BoundedBuffer pending;
    private int lineLength;
    private boolean lineIsComment;
    private boolean hasField;

    /**
     * Creates a parser.
     *
     * @param memory memory of an incomplete event
     * @param maxEventBytes maximum size of one event with the comments before it, in bytes
     */
    EventParser(ByteBudget.Lease memory, int maxEventBytes) {
        this.pending = new BoundedBuffer(memory, MessageLimit.EVENT, maxEventBytes);
    }

    /** Names of the fields of events; a block of lines with none of them is no event. */
    private static final Set<String> FIELDS = Set.of("data", "event", "id", "retry");

    /**
     * Complete event.
     *
     * @param id value of its {@code id} field, empty if the field is absent or not a number
     * @param bytes the event as received, with the blank line that ends it
     * @param kind whether the block of lines is an event
     */
    record Event(Optional<Long> id, byte[] bytes, Kind kind) {

        /**
         * Returns whether the block may be part of a stream.
         *
         * @param hasIds whether the events of the stream have identifiers
         */
        boolean belongsToStream(boolean hasIds) {
            return kind == Kind.COMMENTS || kind == Kind.EVENT && !(hasIds && id.isEmpty());
        }
    }

    /** Kind of a block of lines. */
    enum Kind {
        /** Block with a field of an event. */
        EVENT,
        /** Comments and blank lines. */
        COMMENTS,
        /** Lines that are neither, for instance the text or the head of an error. */
        FOREIGN
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param buffer received bytes
     * @param length number of bytes in the buffer to parse
     * @return events that these bytes complete, in order, possibly none
     * @throws MessageLimitException if an event exceeds its limit or the memory is exhausted
     */
    List<Event> parse(byte[] buffer, int length) throws MessageLimitException {
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < length; i++) {
            if (endsEvent(buffer[i])) {
                pending.append(buffer, start, i + 1 - start);
                start = i + 1;
                byte[] bytes = pending.copy();
                pending.clear();
                events.add(eventOf(bytes));
                hasField = false;
            }
        }
        pending.append(buffer, start, length - start);
        return events;
    }

    /** Advances by one byte; returns whether it completes an event. */
    private boolean endsEvent(byte next) {
        if (next == '\r') {
            return false;
        }
        if (next != '\n') {
            if (lineLength == 0) {
                lineIsComment = next == ':';
            }
            lineLength++;
            return false;
        }
        boolean blankLine = lineLength == 0;
        hasField |= !blankLine && !lineIsComment;
        lineLength = 0;
        return blankLine && hasField;
    }

    /** Returns whether an event has begun and is incomplete. */
    boolean hasPartialEvent() {
        return hasField || lineLength > 0 && !lineIsComment;
    }

    /**
     * Returns the comments and blank lines after the last event, none if there are no such bytes.
     */
    Optional<Event> trailingComments() {
        byte[] bytes = pending.copy();
        pending.clear();
        return bytes.length == 0
                ? Optional.empty()
                : Optional.of(new Event(Optional.empty(), bytes, Kind.COMMENTS));
    }

    private static Event eventOf(byte[] bytes) {
        Optional<Long> id = Optional.empty();
        Kind kind = Kind.FOREIGN;
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
            int colon = line.indexOf(':');
            String field = colon < 0 ? line : line.substring(0, colon);
            kind = FIELDS.contains(field) ? Kind.EVENT : kind;
            if (field.equals("id") && id.isEmpty()) {
                id = idOf(line.substring(field.length()));
            }
        }
        return new Event(id, bytes, kind);
    }

    private static Optional<Long> idOf(String suffix) {
        String value = suffix.isEmpty() ? "" : suffix.substring(1).trim();
        return value.matches("[0-9]{1,18}") ? Optional.of(Long.parseLong(value)) : Optional.empty();
    }
}

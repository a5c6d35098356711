package io.sapphirestack.core.control;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes and decodes the commands and snapshots of the replicated state machine. Ignores unknown
 * fields when decoding. Thread-safe.
 */
public final class ControlCodec {

    private final ObjectMapper mapper;

    /** Creates a codec that uses JSON. */
    public ControlCodec() {
        this(new ObjectMapper());
    }

    /**
     * Creates a codec.
     *
     * @param mapper mapper for the data format; it is copied and not changed
     */
    public ControlCodec(ObjectMapper mapper) {
        this.mapper =
                mapper.copy()
                        .registerModule(new Jdk8Module())
                        .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    }

    /**
     * Encodes a value.
     *
     * @param value command or snapshot
     * @return encoded form
     * @throws UncheckedIOException if the value cannot be encoded
     */
    public byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode " + value.getClass().getName(), e);
        }
    }

    /**
     * Decodes a command.
     *
     * @param data encoded form
     * @return the command
     * @throws UncheckedIOException if the data is not a command that this version knows
     */
    public ValidatedCommand decodeCommand(byte[] data) {
        return decode(data, ValidatedCommand.class);
    }

    /**
     * Decodes a snapshot.
     *
     * @param data encoded form
     * @return the snapshot
     * @throws UncheckedIOException if the data is not a snapshot
     */
    public ControlSnapshot decodeSnapshot(byte[] data) {
        return decode(data, ControlSnapshot.class);
    }

    private <T> T decode(byte[] data, Class<T> type) {
        try {
            return mapper.readValue(data, type);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot decode " + type.getName(), e);
        }
    }
}

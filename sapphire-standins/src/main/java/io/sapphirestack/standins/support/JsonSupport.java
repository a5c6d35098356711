package io.sapphirestack.standins.support;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;

/** JSON mapping shared by the stand-ins. Thread-safe. */
public final class JsonSupport {

    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private JsonSupport() {}

    /**
     * Serializes a value as JSON in UTF-8.
     *
     * @param value record, map or tree
     * @return JSON text
     */
    public static byte[] toBytes(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Deserializes a value.
     *
     * @param json JSON in UTF-8
     * @param type type of the value
     * @param <T> type of the value
     * @return the value
     * @throws IOException if the text is not JSON of this type, or is {@code null}
     */
    public static <T> T read(byte[] json, Class<T> type) throws IOException {
        T value = MAPPER.readValue(json, type);
        if (value == null) {
            throw new IOException("expected a JSON value but got null");
        }
        return value;
    }

    /**
     * Parses a JSON tree.
     *
     * @param json JSON in UTF-8
     * @return the tree
     * @throws IOException if the text is not JSON
     */
    public static JsonNode readTree(byte[] json) throws IOException {
        return MAPPER.readTree(json);
    }
}

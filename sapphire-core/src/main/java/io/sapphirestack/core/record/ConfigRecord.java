package io.sapphirestack.core.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Accepted configuration record. The body is stored as submitted, including fields that this
 * version of the software does not know.
 *
 * @param key kind and name
 * @param schemaVersion version of the schema that the body follows, positive
 * @param minimumReader lowest reader version that may interpret the body, positive
 * @param revision control log index of the last change
 * @param changeId identifier of the last change
 * @param operator operator that made the last change
 * @param body content; must not be modified
 */
public record ConfigRecord(
        RecordKey key,
        int schemaVersion,
        int minimumReader,
        long revision,
        String changeId,
        String operator,
        JsonNode body) {

    /** Checks the components for {@code null} and the versions. */
    public ConfigRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(body, "body");
        if (schemaVersion < 1 || minimumReader < 1) {
            throw new IllegalArgumentException("schemaVersion and minimumReader must be positive");
        }
    }

    /**
     * Returns this record with another body.
     *
     * @param other content; must not be modified
     * @return copy of the record
     */
    public ConfigRecord withBody(JsonNode other) {
        return new ConfigRecord(
                key, schemaVersion, minimumReader, revision, changeId, operator, other);
    }
}

package io.sapphirestack.core.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Accepted configuration record. The body is kept as submitted, with fields that this version does
 * not know.
 *
 * @param key identity
 * @param schemaVersion version of the schema that the body follows, positive
 * @param minimumReader lowest reader version that may interpret the body, positive
 * @param revision log index of the last change
 * @param changeId identifier of the last change
 * @param operator who made the last change
 * @param body content; treated as immutable
 */
public record ConfigRecord(
        RecordKey key,
        int schemaVersion,
        int minimumReader,
        long revision,
        String changeId,
        String operator,
        JsonNode body) {

    /** Checks the components. */
    public ConfigRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(body, "body");
        if (schemaVersion < 1 || minimumReader < 1) {
            throw new IllegalArgumentException("schemaVersion and minimumReader must be positive");
        }
    }
}

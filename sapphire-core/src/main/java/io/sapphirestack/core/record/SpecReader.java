package io.sapphirestack.core.record;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Reads typed fields from the body of a record. Errors contain the path of the invalid field. */
final class SpecReader {

    private final JsonNode body;
    private final String path;

    SpecReader(JsonNode body, String path) {
        if (!body.isObject()) {
            throw new InvalidFieldException(
                    path.isEmpty() ? "body" : path, "must be a JSON object");
        }
        this.body = body;
        this.path = path;
    }

    SpecReader optionalChild(String field) {
        JsonNode node = body.get(field);
        return node == null || node.isNull() ? null : new SpecReader(node, pathOf(field));
    }

    SpecReader requiredChild(String field) {
        SpecReader child = optionalChild(field);
        if (child == null) {
            throw new InvalidFieldException(pathOf(field), "is required");
        }
        return child;
    }

    String text(String field, String defaultValue) {
        JsonNode node = body.get(field);
        if (node == null || node.isNull()) {
            if (defaultValue == null) {
                throw new InvalidFieldException(pathOf(field), "is required");
            }
            return defaultValue;
        }
        if (!node.isTextual()) {
            throw new InvalidFieldException(pathOf(field), "must be a string");
        }
        return node.textValue();
    }

    /** Returns the strings of an array, none if it is absent. */
    List<String> texts(String field) {
        JsonNode node = body.path(field);
        if (!node.isMissingNode() && !node.isArray()) {
            throw new InvalidFieldException(pathOf(field), "must be an array of strings");
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : node) {
            if (!element.isTextual()) {
                throw new InvalidFieldException(pathOf(field), "must be an array of strings");
            }
            texts.add(element.textValue());
        }
        return texts;
    }

    String keyHash(String field) {
        String value = text(field, null);
        if (!value.matches("sha256\\$([0-9a-fA-F]{2})+\\$[0-9a-fA-F]{64}")) {
            throw new InvalidFieldException(pathOf(field), "must be sha256$SALT$DIGEST");
        }
        return value;
    }

    boolean bool(String field, boolean defaultValue) {
        JsonNode node = body.get(field);
        if (node == null || node.isNull()) {
            return defaultValue;
        }
        if (!node.isBoolean()) {
            throw new InvalidFieldException(pathOf(field), "must be true or false");
        }
        return node.booleanValue();
    }

    long integer(String field, Long defaultValue, long min, long max) {
        JsonNode node = body.get(field);
        if (node == null || node.isNull()) {
            if (defaultValue == null) {
                throw new InvalidFieldException(pathOf(field), "is required");
            }
            return defaultValue;
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong()) {
            throw new InvalidFieldException(pathOf(field), "must be an integer");
        }
        long value = node.longValue();
        if (value < min || value > max) {
            throw new InvalidFieldException(
                    pathOf(field), "must be between " + min + " and " + max + " but is " + value);
        }
        return value;
    }

    double decimal(String field, double defaultValue) {
        JsonNode node = body.get(field);
        if (node == null || node.isNull()) {
            return defaultValue;
        }
        if (!node.isNumber() || !Double.isFinite(node.doubleValue())) {
            throw new InvalidFieldException(pathOf(field), "must be a number");
        }
        return node.doubleValue();
    }

    <T extends Enum<T>> T enumConstant(String field, Class<T> type, T defaultValue) {
        String value = text(field, defaultValue == null ? null : defaultValue.name());
        for (T constant : type.getEnumConstants()) {
            if (constant.name().equals(value)) {
                return constant;
            }
        }
        throw new InvalidFieldException(
                pathOf(field), "must be one of " + Arrays.toString(type.getEnumConstants()));
    }

    String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Thrown if a field in the body of a record is missing or has an invalid value. */
    static final class InvalidFieldException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        InvalidFieldException(String field, String problem) {
            super(field + " " + problem);
        }
    }
}

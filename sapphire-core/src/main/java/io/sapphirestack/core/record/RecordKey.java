package io.sapphirestack.core.record;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Unique key of a configuration record. Its text form is {@code kind/name}.
 *
 * @param kind kind of the record, such as {@code service}: up to 32 lower-case letters and hyphens
 * @param name name within the kind: up to 128 letters, digits, dots, underscores, colons and
 *     hyphens, starting with a letter or digit
 */
public record RecordKey(String kind, String name) implements Comparable<RecordKey> {

    private static final Pattern KIND = Pattern.compile("[a-z][a-z-]{0,31}");
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    /** Checks the format of kind and name. */
    public RecordKey {
        if (kind == null || !KIND.matcher(kind).matches()) {
            throw new IllegalArgumentException("not a valid record kind: " + kind);
        }
        if (name == null || !NAME.matcher(name).matches()) {
            throw new IllegalArgumentException("not a valid record name: " + name);
        }
    }

    /**
     * Parses the text form.
     *
     * @param text text of the form {@code kind/name}
     * @return key
     * @throws IllegalArgumentException if the text has no slash, or the kind or name is not valid
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static RecordKey parse(String text) {
        int slash = text.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("expected kind/name but got " + text);
        }
        return new RecordKey(text.substring(0, slash), text.substring(slash + 1));
    }

    @Override
    public int compareTo(RecordKey other) {
        return toString().compareTo(other.toString());
    }

    @JsonValue
    @Override
    public String toString() {
        return kind + "/" + name;
    }
}

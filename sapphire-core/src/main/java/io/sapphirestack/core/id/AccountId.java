package io.sapphirestack.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Pattern;

/**
 * Identifier of a client account.
 *
 * @param value text form: letters, digits, dot, underscore and hyphen, at most 128 characters
 */
public record AccountId(@JsonValue String value) implements Comparable<AccountId> {

    private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    /** Checks the format. */
    public AccountId {
        if (value == null || !FORMAT.matcher(value).matches()) {
            throw new IllegalArgumentException("not a valid AccountId: " + value);
        }
    }

    /**
     * Creates an identifier from its text form.
     *
     * @param value text form
     * @return the identifier
     * @throws IllegalArgumentException if the text is {@code null} or does not have this form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static AccountId of(String value) {
        return new AccountId(value);
    }

    @Override
    public int compareTo(AccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.sapphirestack.core.record;

/**
 * What a planned stop applies to; the record's name is {@code endpoint:ID} or {@code instance:ID}.
 */
public enum StopTarget {
    /** A back end. */
    ENDPOINT,
    /** An instance of this system. */
    INSTANCE;

    /** Returns the prefix of the record's name, with the colon. */
    public String namePrefix() {
        return name().toLowerCase(java.util.Locale.ROOT) + ":";
    }
}

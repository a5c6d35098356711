package io.sapphirestack.core.record;

/**
 * Type of the object that a planned stop applies to. The name of the {@code stop} record is {@code
 * endpoint:ID} or {@code instance:ID}.
 */
public enum StopTarget {
    /** An endpoint of a service. */
    ENDPOINT,
    /** An instance of sapphirestack. */
    INSTANCE;

    /** Returns the prefix of the record's name, including the colon. */
    public String namePrefix() {
        return name().toLowerCase(java.util.Locale.ROOT) + ":";
    }
}

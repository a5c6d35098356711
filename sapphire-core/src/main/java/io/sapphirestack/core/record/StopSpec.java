package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Content and name of a {@code stop} record.
 *
 * @param target what is stopped
 * @param id identifier of the endpoint or instance
 * @param maxWaitMs longest time to wait for work in flight, in milliseconds
 */
public record StopSpec(StopTarget target, String id, long maxWaitMs) {

    /** Time to wait when a record names none, in milliseconds. */
    public static final long DEFAULT_MAX_WAIT_MS = 900_000;

    /** Checks the components. */
    public StopSpec {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(id, "id");
        if (maxWaitMs < 0) {
            throw new IllegalArgumentException("maxWaitMs must not be negative");
        }
    }
}

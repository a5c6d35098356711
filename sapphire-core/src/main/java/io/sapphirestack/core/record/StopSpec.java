package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Planned stop as given by the name and content of a {@code stop} record.
 *
 * @param target whether an endpoint or an instance is stopped
 * @param id identifier of the endpoint or instance
 * @param maxWaitMs maximum time to wait for requests in flight, in milliseconds
 */
public record StopSpec(StopTarget target, String id, long maxWaitMs) {

    /** Wait time of a record that has none, in milliseconds. */
    public static final long DEFAULT_MAX_WAIT_MS = 900_000;

    /** Checks the components for {@code null} and the range of the wait time. */
    public StopSpec {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(id, "id");
        if (maxWaitMs < 0) {
            throw new IllegalArgumentException("maxWaitMs must not be negative");
        }
    }
}

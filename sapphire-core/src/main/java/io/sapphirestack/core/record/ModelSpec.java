package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Content of a {@code model} record; the record's name is the model name that callers use.
 *
 * @param service engine service that runs the model
 * @param pin exact variant that new generations use
 * @param replicas number of endpoints that should have the variant loaded
 * @param weightBytes size of the weights to load, in bytes
 */
public record ModelSpec(String service, ModelPin pin, int replicas, long weightBytes) {

    /** Checks the components. */
    public ModelSpec {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(pin, "pin");
        if (replicas < 0 || weightBytes < 0) {
            throw new IllegalArgumentException("replicas and weightBytes must not be negative");
        }
    }
}

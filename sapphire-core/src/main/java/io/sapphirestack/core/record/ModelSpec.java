package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Content of a {@code model} record. The name of the record is the model name in callers' requests.
 *
 * @param service engine service that runs the model
 * @param pin exact variant that new generations use
 * @param replicas target number of endpoints that have the variant loaded
 * @param weightBytes size of the model weights in bytes
 */
public record ModelSpec(String service, ModelPin pin, int replicas, long weightBytes) {

    /** Checks the ranges of the components. */
    public ModelSpec {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(pin, "pin");
        if (replicas < 0 || weightBytes < 0) {
            throw new IllegalArgumentException("replicas and weightBytes must not be negative");
        }
    }
}

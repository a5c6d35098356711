package io.sapphirestack.core.record;

import java.util.Objects;

/**
 * Content of an {@code operator} record.
 *
 * @param keyHash salted hash of the bearer key
 * @param admin whether the operator may change records; if not, access is read-only
 */
public record OperatorSpec(String keyHash, boolean admin) {

    /** Checks the components for {@code null}. */
    public OperatorSpec {
        Objects.requireNonNull(keyHash, "keyHash");
    }
}

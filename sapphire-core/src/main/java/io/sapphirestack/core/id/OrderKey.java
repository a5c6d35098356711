package io.sapphirestack.core.id;

import java.util.Objects;

/**
 * Idempotency key of an order within a client account and a service.
 *
 * @param account client account that sent the order
 * @param service service that executes the order
 * @param key value of the {@code Idempotency-Key} header, 1 to 256 characters
 */
public record OrderKey(AccountId account, String service, String key) {

    /** Checks the components. */
    public OrderKey {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(key, "key");
        if (key.isEmpty() || key.length() > 256) {
            throw new IllegalArgumentException(
                    "key must have 1 to 256 characters but has " + key.length());
        }
    }
}

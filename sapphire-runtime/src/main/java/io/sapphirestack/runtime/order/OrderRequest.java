package io.sapphirestack.runtime.order;

import io.sapphirestack.core.id.OrderKey;
import java.util.Objects;

/**
 * Non-idempotent order, already authenticated.
 *
 * @param key client account, service and idempotency key
 * @param contentType media type of the body
 * @param body request body, passed on unchanged
 * @param deadlineMs latest time for the answer on the monotonic clock
 */
public record OrderRequest(OrderKey key, String contentType, byte[] body, long deadlineMs) {

    /** Checks the components. */
    public OrderRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}

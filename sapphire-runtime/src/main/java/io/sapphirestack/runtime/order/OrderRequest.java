package io.sapphirestack.runtime.order;

import io.sapphirestack.core.id.OrderKey;
import java.util.Objects;

/**
 * Order from an authenticated caller. It is not idempotent by itself and must be executed at most
 * once.
 *
 * @param key client account, service and idempotency key
 * @param contentType media type of the body
 * @param body request body, forwarded unchanged; not copied
 * @param deadlineMs latest time for the response, in milliseconds of the monotonic clock
 */
public record OrderRequest(OrderKey key, String contentType, byte[] body, long deadlineMs) {

    /** Checks the components for {@code null}. */
    public OrderRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}

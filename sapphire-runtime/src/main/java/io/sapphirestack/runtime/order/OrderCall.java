package io.sapphirestack.runtime.order;

import io.sapphirestack.core.id.OrderKey;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Requests for an order on the wire to a plain service. Stateless. */
final class OrderCall {

    private OrderCall() {}

    static String path(OrderKey key) {
        return "/orders/"
                + URLEncoder.encode(key.key(), StandardCharsets.UTF_8).replace("+", "%20");
    }

    static Map<String, String> headers(OrderKey key) {
        return Map.of("Sapphire-Account", key.account().value());
    }

    static Map<String, String> headers(OrderRequest request) {
        return Map.of(
                "Sapphire-Account",
                request.key().account().value(),
                "Content-Type",
                request.contentType());
    }
}

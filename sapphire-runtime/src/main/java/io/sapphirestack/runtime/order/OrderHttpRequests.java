package io.sapphirestack.runtime.order;

import io.sapphirestack.core.id.OrderKey;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Path and headers of the HTTP requests about an order to a plain service. Stateless. */
final class OrderHttpRequests {

    private OrderHttpRequests() {}

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

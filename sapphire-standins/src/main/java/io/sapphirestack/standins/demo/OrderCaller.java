package io.sapphirestack.standins.demo;

import io.sapphirestack.standins.support.HttpAnswer;
import io.sapphirestack.standins.support.HttpConnection;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Caller that sends orders to a named address. Stateless. */
final class OrderCaller {

    private static final byte[] BODY = "{\"item\":\"ink\"}".getBytes(StandardCharsets.UTF_8);
    private static final String PATH = "/v1/services/ledger/orders";

    private OrderCaller() {}

    /** Sends an order and waits for its answer. */
    static HttpAnswer send(String address, String key) throws IOException {
        return HttpConnection.call(address, 15_000, "POST", PATH, headers(key), BODY);
    }

    /** Sends an order and leaves before its answer. */
    static void sendAndLeave(String address, String key, long stayMs) {
        try (HttpConnection connection = HttpConnection.open(address, 1_000, stayMs)) {
            connection.send("POST", PATH, headers(key), BODY);
        } catch (IOException e) {
            // The read timeout is the way to leave before the answer.
        }
    }

    private static Map<String, String> headers(String key) {
        return Map.of("Authorization", "Bearer " + DemoFleet.ACCOUNT_KEY, "Idempotency-Key", key);
    }
}

package io.sapphirestack.standins.service;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.standins.support.HttpMessages;
import io.sapphirestack.standins.support.JsonSupport;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * HTTP interface of the plain service, a stand-in for a service behind the system in tests. It
 * executes every order that it receives, including duplicates, and counts the executions per order.
 * Thread-safe.
 *
 * <ul>
 *   <li>{@code POST /orders/KEY} executes the order KEY of the account in the header {@code
 *       Sapphire-Account}
 *   <li>{@code GET /orders/KEY} returns the outcome of its first execution, if lookup is enabled
 *   <li>{@code GET /read/PATH} returns content that depends only on the path and query
 *   <li>{@code GET /runs} returns the number of executions by order
 *   <li>{@code GET /health} returns status 200
 *   <li>{@code POST /faults} injects faults
 * </ul>
 */
final class ServiceHandler implements HttpRequestHandler {

    private final ServiceFaults faults;
    private final boolean lookUpEnabled;
    private final Map<String, Integer> executionCounts = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Object>> firstOutcomes = new ConcurrentHashMap<>();
    private final AtomicInteger activeRequests = new AtomicInteger();

    /**
     * Creates a handler.
     *
     * @param faults faults to inject
     * @param lookUpEnabled whether {@code GET /orders/KEY} returns the outcome of an executed
     *     order; if not, it always returns status 404
     */
    ServiceHandler(ServiceFaults faults, boolean lookUpEnabled) {
        this.faults = faults;
        this.lookUpEnabled = lookUpEnabled;
    }

    /** Returns the number of requests in progress. */
    int activeRequests() {
        return activeRequests.get();
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = request.getPath();
        String method = request.getMethod();
        activeRequests.incrementAndGet();
        HttpMessages.repeatRequestId(request, response);
        try {
            if (path.startsWith("/orders/")) {
                serveOrder(request, response);
            } else if (method.equals("GET") && path.startsWith("/read/")) {
                applyDelay();
                HttpMessages.respondJson(
                        response, 200, readContent(path.substring("/read/".length())));
            } else if (method.equals("GET") && path.equals("/runs")) {
                HttpMessages.respondJson(response, 200, new TreeMap<>(executionCounts));
            } else if (method.equals("GET") && path.equals("/health")) {
                HttpMessages.respondJson(response, 200, Map.of());
            } else if (method.equals("POST") && path.equals("/faults")) {
                injectFaults(JsonSupport.readTree(HttpMessages.readBody(request)));
                HttpMessages.respondJson(response, 200, Map.of());
            } else {
                HttpMessages.respondNotRun(response, 404, "not_found");
            }
        } finally {
            activeRequests.decrementAndGet();
        }
    }

    /**
     * Returns the content of a read request. It depends on the path and query only, so that the
     * responses of all instances of the service are equal.
     *
     * @param pathAndQuery path below {@code /read/} with its query
     * @return fields of the JSON response
     */
    static Map<String, Object> readContent(String pathAndQuery) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("path", pathAndQuery);
        content.put("value", Long.toHexString(Hashing.xxh3_64().hashCharsToLong(pathAndQuery)));
        return content;
    }

    private void serveOrder(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        String key =
                URLDecoder.decode(
                        request.getPath().substring("/orders/".length()), StandardCharsets.UTF_8);
        String account = HttpMessages.header(request, "Sapphire-Account", () -> "");
        String orderName = account + "/" + key;
        if (request.getMethod().equals("POST")) {
            executeOrder(orderName, HttpMessages.readBody(request), response);
        } else if (lookUpEnabled && firstOutcomes.containsKey(orderName)) {
            HttpMessages.respondJson(response, 200, firstOutcomes.get(orderName));
        } else {
            HttpMessages.respondJson(response, 404, Map.of("code", "not_found"));
        }
    }

    private void executeOrder(String orderName, byte[] body, ClassicHttpResponse response)
            throws IOException {
        if (faults.shouldRefuseOrder()) {
            HttpMessages.respondNotRun(response, 503, "not_run");
            return;
        }
        int execution = executionCounts.merge(orderName, 1, Integer::sum);
        Map<String, Object> outcome = new LinkedHashMap<>();
        outcome.put("order", orderName);
        outcome.put("run", execution);
        outcome.put("bodyBytes", body.length);
        firstOutcomes.putIfAbsent(orderName, outcome);
        applyDelay();
        if (faults.shouldDropResponse()) {
            throw new ConnectionClosedException("response dropped by an injected fault");
        }
        HttpMessages.respondJson(response, 200, outcome);
    }

    private void injectFaults(JsonNode body) {
        if (body.has("dropAnswers")) {
            faults.dropResponses(body.get("dropAnswers").asInt());
        }
        if (body.has("refuseOrders")) {
            faults.refuseOrders(body.get("refuseOrders").asInt());
        }
        if (body.has("delayMs")) {
            faults.setDelayMs(body.get("delayMs").asLong());
        }
    }

    private void applyDelay() throws IOException {
        if (faults.delayMs() > 0) {
            try {
                Thread.sleep(faults.delayMs());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }
}

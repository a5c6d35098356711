package io.sapphirestack.standins.service;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.standins.support.JsonSupport;
import io.sapphirestack.standins.support.Responses;
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
 * HTTP interface of the plain service. It runs every order that it gets, without removing
 * duplicates, and counts the runs. Thread-safe.
 */
final class ServiceHandler implements HttpRequestHandler {

    private final ServiceFaults faults;
    private final boolean lookUp;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Object>> answers = new ConcurrentHashMap<>();
    private final AtomicInteger active = new AtomicInteger();

    ServiceHandler(ServiceFaults faults, boolean lookUp) {
        this.faults = faults;
        this.lookUp = lookUp;
    }

    /** Returns the number of requests being executed. */
    int active() {
        return active.get();
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String path = request.getPath();
        String method = request.getMethod();
        active.incrementAndGet();
        try {
            if (path.startsWith("/orders/")) {
                serveOrder(request, response);
            } else if (method.equals("GET") && path.startsWith("/read/")) {
                delay();
                Responses.json(response, 200, read(path.substring("/read/".length())));
            } else if (method.equals("GET") && path.equals("/runs")) {
                Responses.json(response, 200, new TreeMap<>(runs));
            } else if (method.equals("GET") && path.equals("/health")) {
                Responses.json(response, 200, Map.of());
            } else if (method.equals("POST") && path.equals("/faults")) {
                injectFaults(JsonSupport.tree(Responses.body(request)));
                Responses.json(response, 200, Map.of());
            } else {
                Responses.notRun(response, 404, "not_found");
            }
        } finally {
            active.decrementAndGet();
        }
    }

    /**
     * Returns the content of a read, a fixed function of its path.
     *
     * @param pathAndQuery path below {@code /read/} with its query
     * @return content
     */
    static Map<String, Object> read(String pathAndQuery) {
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
        String account = Responses.header(request, "Sapphire-Account", () -> "");
        String name = account + "/" + key;
        if (request.getMethod().equals("POST")) {
            runOrder(name, Responses.body(request), response);
        } else if (lookUp && answers.containsKey(name)) {
            Responses.json(response, 200, answers.get(name));
        } else {
            Responses.json(response, 404, Map.of("code", "not_found"));
        }
    }

    private void runOrder(String name, byte[] body, ClassicHttpResponse response)
            throws IOException {
        if (faults.refusesOrder()) {
            Responses.notRun(response, 503, "not_run");
            return;
        }
        int run = runs.merge(name, 1, Integer::sum);
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("order", name);
        answer.put("run", run);
        answer.put("bodyBytes", body.length);
        answers.putIfAbsent(name, answer);
        delay();
        if (faults.dropsAnswer()) {
            throw new ConnectionClosedException("answer dropped on command");
        }
        Responses.json(response, 200, answer);
    }

    private void injectFaults(JsonNode body) {
        if (body.has("dropAnswers")) {
            faults.dropAnswers(body.get("dropAnswers").asInt());
        }
        if (body.has("refuseOrders")) {
            faults.refuseOrders(body.get("refuseOrders").asInt());
        }
        if (body.has("delayMs")) {
            faults.delay(body.get("delayMs").asLong());
        }
    }

    private void delay() throws IOException {
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

package io.sapphirestack.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Fake engine and plain service in one HTTP server. The engine generates only the tokens that the
 * test has allowed.
 */
final class FakeEndpoints implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long KEEP_ALIVE_MS = 100;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger executedOrders = new AtomicInteger();
    private final AtomicInteger attempts = new AtomicInteger();
    private int allowedTokens;
    private int maxTokens;
    private boolean closed;

    FakeEndpoints() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        server.createContext("/v1/streams", this::streamTokens);
        server.createContext("/health", exchange -> respond(exchange, 200, "ok"));
        server.createContext("/read", exchange -> respond(exchange, 200, "read"));
        server.createContext("/orders", this::executeOrder);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    int executedOrders() {
        return executedOrders.get();
    }

    int attempts() {
        return attempts.get();
    }

    /** Allows the engine to generate the tokens below this offset. */
    synchronized void allowTokens(int tokens) {
        allowedTokens = tokens;
        notifyAll();
    }

    static String tokenText(long offset) {
        return "t" + offset + " ";
    }

    private void executeOrder(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        respond(exchange, 200, "execution " + executedOrders.incrementAndGet());
    }

    private void streamTokens(HttpExchange exchange) throws IOException {
        int from = 0;
        if (exchange.getRequestMethod().equals("POST")) {
            JsonNode body = JSON.readTree(exchange.getRequestBody());
            from = body.path("prefix").size();
            attempts.incrementAndGet();
            synchronized (this) {
                maxTokens = body.path("maxTokens").asInt();
            }
        } else if (exchange.getRequestMethod().equals("GET")) {
            from = Integer.parseInt(exchange.getRequestURI().getQuery().replace("from=", ""));
        } else {
            respond(exchange, 204, "");
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            writeTokens(out, from);
        }
    }

    private void writeTokens(OutputStream out, int from) throws IOException {
        int next = from;
        while (next < maxTokens()) {
            if (awaitTokenAllowed(next)) {
                write(out, "id: " + next + "\ndata: {\"token\":\"" + tokenText(next) + "\"}\n\n");
                next++;
            } else {
                write(out, ": keep-alive\n\n");
            }
        }
        write(out, "event: end\ndata: {\"finishReason\":\"length\",\"prefilledTokens\":1,");
        write(out, "\"cachedTokens\":0}\n\n");
    }

    private synchronized int maxTokens() throws IOException {
        if (closed) {
            throw new IOException("closed");
        }
        return maxTokens;
    }

    private synchronized boolean awaitTokenAllowed(int offset) {
        if (offset >= allowedTokens) {
            try {
                wait(KEEP_ALIVE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return offset < allowedTokens;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void respond(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
    }
}

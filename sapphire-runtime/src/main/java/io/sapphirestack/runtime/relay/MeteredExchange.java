package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.ByteBudget;
import java.io.IOException;
import java.util.List;

/** Decorator that records the status and the latency of each response in the metrics. */
final class MeteredExchange implements HttpServerExchange {

    private static final String PLAIN_ROUTE = "relay";
    private static final String STREAM_ROUTE = "relay_stream";

    private final HttpServerExchange exchange;
    private final RelayContext context;

    MeteredExchange(HttpServerExchange exchange, RelayContext context) {
        this.exchange = exchange;
        this.context = context;
    }

    @Override
    public String method() {
        return exchange.method();
    }

    @Override
    public String target() {
        return exchange.target();
    }

    @Override
    public List<HeaderField> headers() {
        return exchange.headers();
    }

    @Override
    public byte[] body() {
        return exchange.body();
    }

    @Override
    public ByteBudget.Lease memory() {
        return exchange.memory();
    }

    @Override
    public long receivedAtMs() {
        return exchange.receivedAtMs();
    }

    @Override
    public boolean isCallerDisconnected() {
        return exchange.isCallerDisconnected();
    }

    @Override
    public void sendResponse(int status, List<HeaderField> headers, byte[] body)
            throws IOException {
        exchange.sendResponse(status, headers, body);
        recordRequest(PLAIN_ROUTE, status);
    }

    @Override
    public void sendStream(int status, List<HeaderField> headers, StreamingBody body)
            throws IOException {
        exchange.sendStream(status, headers, body);
        recordRequest(STREAM_ROUTE, status);
    }

    private void recordRequest(String route, int status) {
        double latencyMs = context.clock().nowMs() - (double) exchange.receivedAtMs();
        context.metrics().recordRequest(route, status, latencyMs);
    }
}

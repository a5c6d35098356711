package io.sapphirestack.runtime.relay;

import java.io.IOException;
import java.util.List;

/** Exchange whose answer is counted with its status and its time. */
final class CountedExchange implements Exchange {

    private static final String WHOLE = "relay";
    private static final String STREAM = "relay_stream";

    private final Exchange exchange;
    private final RelayContext context;

    CountedExchange(Exchange exchange, RelayContext context) {
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
    public long receivedAtMs() {
        return exchange.receivedAtMs();
    }

    @Override
    public boolean isCallerGone() {
        return exchange.isCallerGone();
    }

    @Override
    public void answer(int status, List<HeaderField> headers, byte[] body) throws IOException {
        exchange.answer(status, headers, body);
        count(WHOLE, status);
    }

    @Override
    public void stream(int status, List<HeaderField> headers, StreamedBody body)
            throws IOException {
        exchange.stream(status, headers, body);
        count(STREAM, status);
    }

    private void count(String route, int status) {
        double latencyMs = context.clock().nowMs() - (double) exchange.receivedAtMs();
        context.metrics().recordRequest(route, status, latencyMs);
    }
}

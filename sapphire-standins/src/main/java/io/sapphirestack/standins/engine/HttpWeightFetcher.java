package io.sapphirestack.standins.engine;

import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.standins.support.HttpConnection;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.jboss.logging.Logger;

/** Fetches weights from the weight store. Thread-safe. */
final class HttpWeightFetcher implements ModelHolder.WeightFetcher {

    private static final Logger LOG = Logger.getLogger(HttpWeightFetcher.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    // The store may hold back data for long while others load.
    private static final long SILENCE_MS = 30_000;

    private final String address;
    private final ExecutorService executor;

    /**
     * Creates a fetcher.
     *
     * @param address {@code host:port} of the weight store; empty for loads that succeed at once
     * @param executor runs the fetches
     */
    HttpWeightFetcher(String address, ExecutorService executor) {
        this.address = address;
        this.executor = executor;
    }

    @Override
    public void fetch(ModelPin pin, long bytes, Consumer<Boolean> ended) {
        if (address.isEmpty() || bytes == 0) {
            ended.accept(true);
            return;
        }
        executor.execute(
                () -> {
                    boolean complete = false;
                    try {
                        complete = download(pin, bytes) == bytes;
                    } catch (IOException e) {
                        LOG.warnf("SAP4004 weights of %s were not loaded: %s", pin, e.getMessage());
                    } finally {
                        ended.accept(complete);
                    }
                });
    }

    private long download(ModelPin pin, long bytes) throws IOException {
        String name = URLEncoder.encode(pin.toString(), StandardCharsets.UTF_8);
        try (HttpConnection connection =
                HttpConnection.open(address, CONNECT_TIMEOUT_MS, SILENCE_MS)) {
            ClassicHttpResponse response =
                    connection.send("GET", "/weights/" + name + "?bytes=" + bytes, Map.of(), null);
            if (response.getCode() != 200) {
                throw new IOException("weight store answered " + response.getCode());
            }
            byte[] buffer = new byte[65_536];
            long received = 0;
            InputStream content = response.getEntity().getContent();
            for (int n = content.read(buffer); n >= 0; n = content.read(buffer)) {
                received += n;
            }
            return received;
        }
    }
}

package io.sapphirestack.standins.engine;

import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.standins.support.StandInClientConnection;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.jboss.logging.Logger;

/** Fetches weights from the weight store over HTTP. Thread-safe. */
final class HttpWeightFetcher implements ModelRegistry.WeightFetcher {

    private static final Logger LOG = Logger.getLogger(HttpWeightFetcher.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    // The rate limit of the store can delay the data of one fetch for a long time while other
    // fetches run.
    private static final long READ_TIMEOUT_MS = 30_000;

    private final String storeAddress;
    private final ExecutorService executor;

    /**
     * Creates a fetcher.
     *
     * @param storeAddress {@code host:port} of the weight store; empty to complete every load at
     *     once
     * @param executor runs the fetches
     */
    HttpWeightFetcher(String storeAddress, ExecutorService executor) {
        this.storeAddress = storeAddress;
        this.executor = executor;
    }

    @Override
    public void fetch(ModelPin pin, long bytes, Consumer<Boolean> onEnd) {
        if (storeAddress.isEmpty() || bytes == 0) {
            onEnd.accept(true);
            return;
        }
        executor.execute(
                () -> {
                    boolean complete = false;
                    try {
                        complete = download(pin, bytes) == bytes;
                    } catch (IOException e) {
                        LOG.warnf(
                                "SAP4004 failed to fetch the weights of %s: %s",
                                pin, e.getMessage());
                    } finally {
                        onEnd.accept(complete);
                    }
                });
    }

    private long download(ModelPin pin, long bytes) throws IOException {
        String name = URLEncoder.encode(pin.toString(), StandardCharsets.UTF_8);
        try (StandInClientConnection connection =
                StandInClientConnection.connect(
                        storeAddress, CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)) {
            ClassicHttpResponse response =
                    connection.sendRequest(
                            "GET", "/weights/" + name + "?bytes=" + bytes, Map.of(), null);
            if (response.getCode() != 200) {
                throw new IOException("weight store responded with status " + response.getCode());
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

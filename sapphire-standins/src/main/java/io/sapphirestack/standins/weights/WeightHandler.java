package io.sapphirestack.standins.weights;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.HttpMessages;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.protocol.HttpContext;

/** HTTP interface of the weight store. Thread-safe. */
final class WeightHandler implements HttpRequestHandler {

    private static final int CHUNK_BYTES = 65_536;

    private final RateMeter meter;
    private final MillisClock clock;

    WeightHandler(RateMeter meter, MillisClock clock) {
        this.meter = meter;
        this.clock = clock;
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context) {
        String path = request.getPath();
        if (path.startsWith("/weights/")) {
            long bytes = Math.max(0, HttpMessages.queryParameter(path, "bytes", 0));
            response.setCode(200);
            response.setEntity(
                    new EntityTemplate(
                            bytes,
                            ContentType.APPLICATION_OCTET_STREAM,
                            null,
                            out -> sendBytes(bytes, out)));
        } else if (path.equals("/usage")) {
            HttpMessages.respondJson(response, 200, meter.usage());
        } else if (path.equals("/health")) {
            HttpMessages.respondJson(response, 200, Map.of());
        } else {
            HttpMessages.respondNotRun(response, 404, "not_found");
        }
    }

    private void sendBytes(long bytes, OutputStream out) throws IOException {
        meter.beginFetch();
        try {
            byte[] chunk = new byte[CHUNK_BYTES];
            for (long remainingBytes = bytes; remainingBytes > 0; ) {
                int n = (int) Math.min(remainingBytes, chunk.length);
                Thread.sleep(meter.reserve(n, clock.nowMs()));
                out.write(chunk, 0, n);
                out.flush();
                meter.recordSent(n, clock.nowMs());
                remainingBytes -= n;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            meter.endFetch();
        }
    }
}

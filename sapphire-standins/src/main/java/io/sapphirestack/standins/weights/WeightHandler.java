package io.sapphirestack.standins.weights;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.Responses;
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
            long bytes = Math.max(0, Responses.longParameter(path, "bytes", 0));
            response.setCode(200);
            response.setEntity(
                    new EntityTemplate(
                            bytes,
                            ContentType.APPLICATION_OCTET_STREAM,
                            null,
                            out -> send(bytes, out)));
        } else if (path.equals("/usage")) {
            Responses.json(response, 200, meter.usage());
        } else if (path.equals("/health")) {
            Responses.json(response, 200, Map.of());
        } else {
            Responses.notRun(response, 404, "not_found");
        }
    }

    private void send(long bytes, OutputStream out) throws IOException {
        meter.begin();
        try {
            byte[] chunk = new byte[CHUNK_BYTES];
            for (long left = bytes; left > 0; ) {
                int n = (int) Math.min(left, chunk.length);
                Thread.sleep(meter.book(n, clock.nowMs()));
                out.write(chunk, 0, n);
                out.flush();
                meter.sent(n, clock.nowMs());
                left -= n;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            meter.end();
        }
    }
}

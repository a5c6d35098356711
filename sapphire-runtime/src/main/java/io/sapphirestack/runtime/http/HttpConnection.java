package io.sapphirestack.runtime.http;

import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** One connection of a caller, endpoint or operator, served by one thread. */
final class HttpConnection implements Runnable {

    private static final EventLog LOG = EventLog.of(HttpConnection.class);

    // A caller that reuses connections sends its next request within this time.
    private static final int IDLE_TIMEOUT_MS = 15_000;

    private final HttpService service;
    private final TrackedSocket socket;
    private final DefaultBHttpServerConnection connection;
    private final Runnable afterwards;
    private volatile boolean inRequest;

    HttpConnection(
            HttpService service, Http1Config config, TrackedSocket socket, Runnable afterwards)
            throws IOException {
        this.service = service;
        this.socket = socket;
        this.afterwards = afterwards;
        this.connection = new DefaultBHttpServerConnection("http", config);
        socket.setTcpNoDelay(true);
        socket.setKeepAlive(true);
        connection.bind(socket);
        connection.setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
    }

    @Override
    public void run() {
        try {
            HttpCoreContext context = HttpCoreContext.create();
            context.setAttribute(HttpFrontend.CONNECTION, this);
            while (connection.isOpen()) {
                service.handleRequest(connection, context);
                inRequest = false;
            }
        } catch (IOException | HttpException e) {
            // The caller went away or sent no valid request; there is nobody to answer.
            LOG.debug("SAP1207", "A connection of a caller ended", "cause", e);
        } catch (RuntimeException e) {
            LOG.error("SAP1206", e, "A connection is closed after an unexpected failure");
        } finally {
            connection.close(CloseMode.IMMEDIATE);
            afterwards.run();
        }
    }

    void requestStarted() {
        inRequest = true;
    }

    void closeIfIdle() {
        if (!inRequest) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    void closeIfStuck(long limitMs) {
        if (socket.writeDurationMs() > limitMs) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    void close() {
        connection.close(CloseMode.IMMEDIATE);
    }
}

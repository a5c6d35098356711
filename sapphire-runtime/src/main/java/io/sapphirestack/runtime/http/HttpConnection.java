package io.sapphirestack.runtime.http;

import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Connection of a caller, endpoint or operator, served by one thread. Other threads may close it.
 */
final class HttpConnection implements Runnable {

    private static final EventLog LOG = EventLog.of(HttpConnection.class);

    // A connection that is idle for this long is closed; callers that reuse connections send their
    // next request within this time.
    private static final int IDLE_TIMEOUT_MS = 15_000;

    private final HttpService service;
    private final TrackedSocket socket;
    private final DefaultBHttpServerConnection connection;
    private final Runnable onClose;
    private final RequestTurn turn = new RequestTurn();

    HttpConnection(HttpService service, Http1Config config, TrackedSocket socket, Runnable onClose)
            throws IOException {
        this.service = service;
        this.socket = socket;
        this.onClose = onClose;
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
            while (connection.isOpen() && awaitRequest()) {
                service.handleRequest(connection, context);
            }
        } catch (IOException | HttpException e) {
            // The caller closed the connection or sent invalid HTTP, so no response can be sent.
            LOG.debug(
                    "SAP1207", "Connection closed by the caller or after an I/O error", "cause", e);
        } catch (RuntimeException e) {
            LOG.error("SAP1206", e, "Closing a connection after an unexpected failure");
        } finally {
            connection.close(CloseMode.IMMEDIATE);
            onClose.run();
        }
    }

    /**
     * Waits for the next request; returns whether its first bytes arrive before the idle timeout.
     */
    private boolean awaitRequest() throws IOException {
        boolean available =
                turn.tryBeginWait()
                        && connection.isDataAvailable(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
        return turn.tryBeginRequest() && available;
    }

    /** Closes the connection if no request is being served or has arrived. */
    void closeIfIdle() {
        if (!socket.hasUnreadInput() && turn.tryClose()) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    /** Closes the connection if its current write has lasted longer than the limit. */
    void closeIfWriteStalled(long limitMs) {
        if (socket.writeDurationMs() > limitMs) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    void close() {
        connection.close(CloseMode.IMMEDIATE);
    }
}

package io.sapphirestack.runtime.http;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.connection.GuardedInputStream;
import io.sapphirestack.runtime.connection.HeadMeter;
import io.sapphirestack.runtime.connection.MessageLimit;
import io.sapphirestack.runtime.connection.MessageLimitException;
import io.sapphirestack.runtime.connection.MeteredServerConnection;
import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
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

    /** Time from the first to the last byte of a head, in milliseconds. */
    private static final long HEAD_TIMEOUT_MS = 3_000;

    /** Time for which the rest of a refused request is read, in milliseconds. */
    private static final long DISCARD_MS = 300;

    /** Bytes of a head, and those that the library may read ahead. */
    private static final long MAX_READ_HEAD_BYTES = HttpSettings.MAX_HEADER_BYTES + 8 * 1_024;

    private final HttpService service;
    private final TrackedSocket socket;
    private final MeteredServerConnection connection;
    private final HeadMeter headMeter;
    private final ByteBudget memory;
    private final MillisClock clock;
    private final Runnable onMemoryRefusal;
    private final Runnable onClose;
    private final RequestTurn turn = new RequestTurn();

    HttpConnection(
            HttpService service,
            Http1Config config,
            TrackedSocket socket,
            ByteBudget memory,
            MillisClock clock,
            Runnable onMemoryRefusal,
            Runnable onClose)
            throws IOException {
        this.service = service;
        this.socket = socket;
        this.memory = memory;
        this.clock = clock;
        this.onMemoryRefusal = onMemoryRefusal;
        this.onClose = onClose;
        this.headMeter = new HeadMeter(memory, MAX_READ_HEAD_BYTES);
        socket.setTcpNoDelay(true);
        socket.setKeepAlive(true);
        this.connection = new GuardedConnection(config);
        connection.setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
    }

    @Override
    public void run() {
        try {
            HttpCoreContext context = HttpCoreContext.create();
            while (connection.isOpen() && awaitRequest()) {
                serveRequest(context);
            }
        } catch (IOException | HttpException e) {
            // The caller closed the connection or sent invalid HTTP, so no response can be sent.
            LOG.debug(
                    "SAP1207", "Connection closed by the caller or after an I/O error", "cause", e);
        } catch (RuntimeException e) {
            LOG.error("SAP1206", e, "Closing a connection after an unexpected failure");
        } finally {
            connection.close(CloseMode.IMMEDIATE);
            headMeter.close();
            onClose.run();
        }
    }

    private void serveRequest(HttpCoreContext context) throws IOException, HttpException {
        try (ByteBudget.Lease lease = memory.newLease()) {
            headMeter.startMessage(lease);
            RequestMemory.set(context, lease);
            service.handleRequest(connection, context);
        } finally {
            headMeter.endMessage();
        }
    }

    /** Connection whose heads must arrive within a time, and are refused above a limit. */
    private final class GuardedConnection extends MeteredServerConnection {

        GuardedConnection(Http1Config config) throws IOException {
            super(socket, config, headMeter);
        }

        @Override
        public ClassicHttpRequest receiveRequestHeader() throws IOException, HttpException {
            GuardedInputStream input = socket.guardedInput();
            setSocketTimeout(Timeout.ofMilliseconds(GuardedInputStream.CHECK_INTERVAL_MS));
            input.guardHead(
                    GuardedInputStream.timeoutGuard(clock, HEAD_TIMEOUT_MS), MAX_READ_HEAD_BYTES);
            try {
                return super.receiveRequestHeader();
            } catch (MessageLimitException e) {
                refuse(e.limit());
                // The service closes the connection.
                return null;
            } finally {
                input.clearGuard();
                setSocketTimeout(Timeout.ofMilliseconds(IDLE_TIMEOUT_MS));
            }
        }
    }

    private void refuse(MessageLimit limit) throws IOException, HttpException {
        if (limit == MessageLimit.MEMORY) {
            onMemoryRefusal.run();
        }
        ApiResponse problem = ApiResponse.problem(RequestMemory.refusalOf(limit));
        ClassicHttpResponse response = new BasicClassicHttpResponse(problem.status());
        problem.headers().forEach(response::setHeader);
        response.setHeader(HttpHeaders.CONNECTION, "close");
        response.setHeader(HttpHeaders.CONTENT_LENGTH, problem.body().length);
        response.setHeader(HttpHeaders.CONTENT_TYPE, problem.contentType());
        response.setEntity(
                new ByteArrayEntity(
                        problem.body(), ContentType.parse(problem.contentType()), false));
        connection.sendResponseHeader(response);
        connection.sendResponseEntity(response);
        connection.flush();
        socket.discardInput(clock, DISCARD_MS);
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
        long unreadMs = socket.unreadMs();
        if (unreadMs > limitMs) {
            LOG.warn(
                    "SAP1942",
                    "A caller of the HTTP interface did not read its response; its connection is"
                            + " closed",
                    "caller",
                    socket.getRemoteSocketAddress(),
                    "unreadMs",
                    unreadMs);
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    void close() {
        connection.close(CloseMode.IMMEDIATE);
    }
}

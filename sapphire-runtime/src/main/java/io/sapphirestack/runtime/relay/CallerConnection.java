package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.http.TrackedSocket;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP/1.1 connection of a caller. One thread serves its requests in turn; the methods that close
 * it may be called by any thread.
 */
final class CallerConnection implements Runnable {

    private static final EventLog LOG = EventLog.of(CallerConnection.class);

    private static final int READ_CHUNK_BYTES = 4_096;

    private final DefaultBHttpServerConnection connection;
    private final TrackedSocket socket;
    private final HttpServerExchange.Handler handler;
    private final CallerLimits limits;
    private final BooleanSupplier stopping;
    private final MillisClock clock;
    private final Runnable onClosed;
    private volatile long headerStartedAtMs = -1;
    private volatile boolean idle;

    CallerConnection(
            TrackedSocket socket,
            Http1Config config,
            HttpServerExchange.Handler handler,
            CallerLimits limits,
            BooleanSupplier stopping,
            MillisClock clock,
            Runnable onClosed)
            throws IOException {
        this.socket = socket;
        this.handler = handler;
        this.limits = limits;
        this.stopping = stopping;
        this.clock = clock;
        this.onClosed = onClosed;
        this.connection = new DefaultBHttpServerConnection("http", config);
        socket.setTcpNoDelay(true);
        connection.bind(socket);
    }

    @Override
    public void run() {
        try {
            while (connection.isOpen() && awaitRequest() && serveRequest()) {
                LOG.debug("SAP1901", "A request was served and its connection stays open");
            }
        } catch (IOException | HttpException e) {
            LOG.debug("SAP1902", "A connection of a caller failed", "cause", e);
        } catch (RuntimeException e) {
            LOG.error(
                    "SAP1903",
                    e,
                    "Closing the connection of a caller after an unexpected exception");
        } finally {
            connection.close(CloseMode.GRACEFUL);
            onClosed.run();
        }
    }

    /**
     * Waits for the next request; returns whether its first bytes arrive before the idle timeout.
     */
    private boolean awaitRequest() throws IOException {
        idle = true;
        try {
            // Another thread closes the connection on a stop, so this wait need not poll.
            return !stopping.getAsBoolean()
                    && connection.isDataAvailable(Timeout.ofMilliseconds(limits.idleTimeoutMs()));
        } finally {
            idle = false;
        }
    }

    /** Closes the connection if no request is being served. */
    void closeIfIdle() {
        if (idle) {
            connection.close(CloseMode.GRACEFUL);
        }
    }

    /** Serves one request; returns whether the connection stays open for another one. */
    private boolean serveRequest() throws IOException, HttpException {
        headerStartedAtMs = clock.nowMs();
        connection.setSocketTimeout(Timeout.ofMilliseconds(limits.headerTimeoutMs()));
        ClassicHttpRequest request;
        try {
            request = connection.receiveRequestHeader();
        } catch (MessageConstraintException e) {
            reject(new RequestChecks.Rejection(431, "the header is too large"));
            return false;
        } catch (HttpException e) {
            reject(new RequestChecks.Rejection(400, "the request cannot be read"));
            return false;
        }
        headerStartedAtMs = -1;
        if (request == null) {
            return false;
        }
        Optional<RequestChecks.Rejection> rejection = RequestChecks.check(request, limits);
        if (rejection.isPresent()) {
            reject(rejection.get());
            return false;
        }
        Optional<byte[]> body = readBody(request);
        if (body.isEmpty()) {
            reject(new RequestChecks.Rejection(413, "the body is too large"));
            return false;
        }
        CallerExchange exchange = new CallerExchange(request, body.get(), clock.nowMs());
        handler.handle(exchange);
        return exchange.keepAlive && connection.isOpen();
    }

    private Optional<byte[]> readBody(ClassicHttpRequest request)
            throws IOException, HttpException {
        if (request.containsHeader(HttpHeaders.EXPECT)) {
            connection.sendResponseHeader(new BasicClassicHttpResponse(100));
            connection.flush();
        }
        connection.receiveRequestEntity(request);
        HttpEntity entity = request.getEntity();
        if (entity == null) {
            return Optional.of(new byte[0]);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] chunk = new byte[READ_CHUNK_BYTES];
        try (InputStream in = entity.getContent()) {
            for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
                body.write(chunk, 0, read);
                if (body.size() > limits.bodyBytes()) {
                    return Optional.empty();
                }
            }
        }
        return Optional.of(body.toByteArray());
    }

    private void reject(RequestChecks.Rejection rejection) throws IOException, HttpException {
        byte[] body = rejection.reason().getBytes(StandardCharsets.UTF_8);
        ClassicHttpResponse response = new BasicClassicHttpResponse(rejection.status());
        response.setHeader(HttpHeaders.CONNECTION, "close");
        send(response, body);
    }

    private void send(ClassicHttpResponse response, byte[] body) throws IOException, HttpException {
        response.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
        response.setEntity(new ByteArrayEntity(body, null));
        connection.sendResponseHeader(response);
        connection.sendResponseEntity(response);
        connection.flush();
    }

    /**
     * Closes the connection if receiving a header or a single write takes too long.
     *
     * @param writeTimeoutMs longest time for one write, in milliseconds
     */
    void closeIfTimedOut(long writeTimeoutMs) {
        long startedAtMs = headerStartedAtMs;
        boolean headerOverdue =
                startedAtMs >= 0 && clock.nowMs() - startedAtMs > limits.headerTimeoutMs();
        if (headerOverdue || socket.writeDurationMs() > writeTimeoutMs) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    void close() {
        connection.close(CloseMode.IMMEDIATE);
    }

    /** One request on this connection and its response. */
    private final class CallerExchange implements HttpServerExchange {

        private final ClassicHttpRequest request;
        private final byte[] body;
        private final long receivedAtMs;
        private final List<HeaderField> headers = new ArrayList<>();
        private boolean keepAlive = true;

        CallerExchange(ClassicHttpRequest request, byte[] body, long receivedAtMs) {
            this.request = request;
            this.body = body;
            this.receivedAtMs = receivedAtMs;
            for (Header header : request.getHeaders()) {
                String value = header.getValue() == null ? "" : header.getValue();
                headers.add(new HeaderField(header.getName(), value));
                if (header.getName().equalsIgnoreCase(HttpHeaders.CONNECTION)) {
                    keepAlive &= !value.equalsIgnoreCase("close");
                }
            }
        }

        @Override
        public String method() {
            return request.getMethod();
        }

        @Override
        public String target() {
            return request.getRequestUri();
        }

        @Override
        public List<HeaderField> headers() {
            return headers;
        }

        @Override
        public byte[] body() {
            return body.clone();
        }

        @Override
        public long receivedAtMs() {
            return receivedAtMs;
        }

        @Override
        public boolean isCallerDisconnected() {
            try {
                return connection.isStale();
            } catch (IOException e) {
                LOG.debug("SAP1902", "A connection of a caller failed", "cause", e);
                return true;
            }
        }

        @Override
        public void sendResponse(int status, List<HeaderField> fields, byte[] content)
                throws IOException {
            try {
                send(response(status, fields), content);
            } catch (HttpException e) {
                throw new IOException("the response cannot be encoded", e);
            }
        }

        @Override
        public void sendStream(int status, List<HeaderField> fields, StreamingBody content)
                throws IOException {
            ClassicHttpResponse response = response(status, fields);
            response.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
            response.setEntity(
                    new StreamedEntity(
                            out -> {
                                try {
                                    content.writeTo(out);
                                } catch (IOException | RuntimeException e) {
                                    // Otherwise the library ends the chunked body as if it were
                                    // complete.
                                    keepAlive = false;
                                    socket.close();
                                    throw e;
                                }
                            }));
            try {
                connection.sendResponseHeader(response);
                connection.sendResponseEntity(response);
                connection.flush();
            } catch (HttpException e) {
                throw new IOException("the response cannot be encoded", e);
            }
        }

        private ClassicHttpResponse response(int status, List<HeaderField> fields) {
            ClassicHttpResponse response = new BasicClassicHttpResponse(status);
            fields.forEach(field -> response.addHeader(field.name(), field.value()));
            if (stopping.getAsBoolean()) {
                keepAlive = false;
            }
            if (!keepAlive) {
                response.setHeader(HttpHeaders.CONNECTION, "close");
            }
            return response;
        }
    }
}

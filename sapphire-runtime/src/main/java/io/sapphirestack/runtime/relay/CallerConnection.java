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

/** One connection of a caller, served by one thread. */
final class CallerConnection implements Runnable {

    private static final EventLog LOG = EventLog.of(CallerConnection.class);

    private static final int READ_CHUNK_BYTES = 4_096;

    private final DefaultBHttpServerConnection connection;
    private final TrackedSocket socket;
    private final Exchange.Handler handler;
    private final CallerLimits limits;
    private final BooleanSupplier stopping;
    private final MillisClock clock;
    private final Runnable afterwards;
    private volatile long headerSinceMs = -1;
    private volatile boolean idle;

    CallerConnection(
            TrackedSocket socket,
            Http1Config config,
            Exchange.Handler handler,
            CallerLimits limits,
            BooleanSupplier stopping,
            MillisClock clock,
            Runnable afterwards)
            throws IOException {
        this.socket = socket;
        this.handler = handler;
        this.limits = limits;
        this.stopping = stopping;
        this.clock = clock;
        this.afterwards = afterwards;
        this.connection = new DefaultBHttpServerConnection("http", config);
        socket.setTcpNoDelay(true);
        connection.bind(socket);
    }

    @Override
    public void run() {
        try {
            while (connection.isOpen() && awaitRequest() && serve()) {
                LOG.debug("SAP1901", "A request was served on a kept connection");
            }
        } catch (IOException | HttpException e) {
            LOG.debug("SAP1902", "A connection of a caller ended", "cause", e);
        } catch (RuntimeException e) {
            LOG.error("SAP1903", e, "A connection is closed after an unexpected failure");
        } finally {
            connection.close(CloseMode.GRACEFUL);
            afterwards.run();
        }
    }

    /** Returns whether the next request begins to arrive before the idle timeout. */
    private boolean awaitRequest() throws IOException {
        idle = true;
        try {
            // A stop closes the connection from outside, so the wait needs no wake-ups.
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

    /** Serves one request; returns whether the connection is kept. */
    private boolean serve() throws IOException, HttpException {
        headerSinceMs = clock.nowMs();
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
        headerSinceMs = -1;
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
        return exchange.keep && connection.isOpen();
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

    /** Ends the connection if a header or a write takes too long. */
    void closeIfStuck(long writeLimitMs) {
        long sinceMs = headerSinceMs;
        boolean headerOverdue = sinceMs >= 0 && clock.nowMs() - sinceMs > limits.headerTimeoutMs();
        if (headerOverdue || socket.writeDurationMs() > writeLimitMs) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    void close() {
        connection.close(CloseMode.IMMEDIATE);
    }

    /** Request and answer on this connection. */
    private final class CallerExchange implements Exchange {

        private final ClassicHttpRequest request;
        private final byte[] body;
        private final long receivedAtMs;
        private final List<HeaderField> headers = new ArrayList<>();
        private boolean keep = true;

        CallerExchange(ClassicHttpRequest request, byte[] body, long receivedAtMs) {
            this.request = request;
            this.body = body;
            this.receivedAtMs = receivedAtMs;
            for (Header header : request.getHeaders()) {
                String value = header.getValue() == null ? "" : header.getValue();
                headers.add(new HeaderField(header.getName(), value));
                if (header.getName().equalsIgnoreCase(HttpHeaders.CONNECTION)) {
                    keep &= !value.equalsIgnoreCase("close");
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
        public boolean isCallerGone() {
            try {
                return connection.isStale();
            } catch (IOException e) {
                LOG.debug("SAP1902", "A connection of a caller ended", "cause", e);
                return true;
            }
        }

        @Override
        public void answer(int status, List<HeaderField> fields, byte[] answer) throws IOException {
            try {
                send(response(status, fields), answer);
            } catch (HttpException e) {
                throw new IOException("the answer cannot be sent", e);
            }
        }

        @Override
        public void stream(int status, List<HeaderField> fields, StreamedBody answer)
                throws IOException {
            ClassicHttpResponse response = response(status, fields);
            response.setHeader(HttpHeaders.TRANSFER_ENCODING, "chunked");
            response.setEntity(
                    new StreamedEntity(
                            out -> {
                                try {
                                    answer.writeTo(out);
                                } catch (IOException | RuntimeException e) {
                                    // The library would end the body in good order otherwise.
                                    keep = false;
                                    socket.close();
                                    throw e;
                                }
                            }));
            try {
                connection.sendResponseHeader(response);
                connection.sendResponseEntity(response);
                connection.flush();
            } catch (HttpException e) {
                throw new IOException("the answer cannot be sent", e);
            }
        }

        private ClassicHttpResponse response(int status, List<HeaderField> fields) {
            ClassicHttpResponse response = new BasicClassicHttpResponse(status);
            fields.forEach(field -> response.addHeader(field.name(), field.value()));
            if (stopping.getAsBoolean()) {
                keep = false;
            }
            if (!keep) {
                response.setHeader(HttpHeaders.CONNECTION, "close");
            }
            return response;
        }
    }
}

package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.connection.BoundedBuffer;
import io.sapphirestack.runtime.connection.GuardedInputStream;
import io.sapphirestack.runtime.connection.HeadMeter;
import io.sapphirestack.runtime.connection.MessageLimit;
import io.sapphirestack.runtime.connection.MessageLimitException;
import io.sapphirestack.runtime.connection.MeteredServerConnection;
import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.http.RequestTurn;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.config.Http1Config;
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

    /**
     * Bytes that a read of a head may take beyond its limit, because the library reads ahead and
     * the limit does not count the method and the protocol version.
     */
    private static final int READ_AHEAD_BYTES = 2 * READ_CHUNK_BYTES;

    /**
     * Time for which a stopping instance waits for a request on an open connection, in
     * milliseconds. A request that a caller sent before it noticed the stop arrives within this
     * time and is answered.
     */
    private static final long STOP_LINGER_MS = 300;

    /** Time for which the rest of a rejected request is read, in milliseconds. */
    private static final long DISCARD_MS = 300;

    /** Retry-After of a request that found no memory, in milliseconds. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;

    private final MeteredServerConnection connection;
    private final HeadMeter headMeter;
    private final TrackedSocket socket;
    private final HttpServerExchange.Handler handler;
    private final CallerLimits limits;
    private final BooleanSupplier stopping;
    private final MillisClock clock;
    private final ByteBudget memory;
    private final Runnable onMemoryRefusal;
    private final Runnable onClosed;
    private final RequestTurn turn = new RequestTurn();

    /** Whether the current request is a HEAD, whose response has no body. */
    private boolean headRequest;

    CallerConnection(
            TrackedSocket socket,
            Http1Config config,
            HttpServerExchange.Handler handler,
            CallerLimits limits,
            BooleanSupplier stopping,
            ByteBudget memory,
            MillisClock clock,
            Runnable onMemoryRefusal,
            Runnable onClosed)
            throws IOException {
        this.socket = socket;
        this.handler = handler;
        this.limits = limits;
        this.stopping = stopping;
        this.memory = memory;
        this.clock = clock;
        this.onMemoryRefusal = onMemoryRefusal;
        this.onClosed = onClosed;
        this.headMeter = new HeadMeter(memory, maxHeadBytes());
        socket.setTcpNoDelay(true);
        this.connection = new MeteredServerConnection(socket, config, headMeter);
    }

    @Override
    public void run() {
        try {
            while (connection.isOpen() && awaitRequest() && serveRequest()) {
                LOG.debug("SAP1901", "A request was served and its connection stays open");
            }
        } catch (IOException | HttpException e) {
            LOG.debug("SAP1902", "A connection of a caller failed", "cause", e);
        } catch (RuntimeException | Error e) {
            LOG.error(
                    "SAP1903",
                    e,
                    "Closing the connection of a caller after an unexpected exception");
        } finally {
            connection.close(CloseMode.GRACEFUL);
            headMeter.close();
            onClosed.run();
        }
    }

    private long maxHeadBytes() {
        return (long) limits.headerBytes() + READ_AHEAD_BYTES;
    }

    /**
     * Waits for the next request; returns whether its first bytes arrive before the idle timeout. A
     * stopping instance waits only for requests that are already on their way.
     */
    private boolean awaitRequest() throws IOException {
        long timeoutMs = stopping.getAsBoolean() ? STOP_LINGER_MS : limits.idleTimeoutMs();
        if (!turn.tryBeginWait()) {
            return false;
        }
        // Another thread closes the connection on a stop, so this wait need not poll.
        boolean available = connection.isDataAvailable(Timeout.ofMilliseconds(timeoutMs));
        return turn.tryBeginRequest() && available;
    }

    /**
     * Closes the connection if no request is being served or has arrived. Called by another thread.
     */
    void closeIfIdle() {
        if (!socket.hasUnreadInput() && turn.tryClose()) {
            connection.close(CloseMode.GRACEFUL);
        }
    }

    /** Serves one request; returns whether the connection stays open for another one. */
    private boolean serveRequest() throws IOException, HttpException {
        connection.setSocketTimeout(Timeout.ofMilliseconds(GuardedInputStream.CHECK_INTERVAL_MS));
        try (ByteBudget.Lease lease = memory.newLease()) {
            Optional<CallerExchange> exchange = receiveRequest(lease);
            if (exchange.isEmpty()) {
                return false;
            }
            handler.handle(exchange.get());
            return exchange.get().keepAlive && connection.isOpen();
        } finally {
            headMeter.endMessage();
        }
    }

    /** Receives a whole request; sends the rejection of one that is invalid or above a limit. */
    private Optional<CallerExchange> receiveRequest(ByteBudget.Lease lease)
            throws IOException, HttpException {
        headRequest = false;
        try {
            socket.guardedInput().guardHead(timeoutGuard(limits.headerTimeoutMs()), maxHeadBytes());
            headMeter.startMessage(lease);
            ClassicHttpRequest request = connection.receiveRequestHeader();
            if (request == null || socket.guardedInput().isEndReached()) {
                // The library accepts a head that ends with the connection; its rest is unknown.
                return Optional.empty();
            }
            headRequest = Method.HEAD.isSame(request.getMethod());
            Optional<RequestChecks.Rejection> rejection = RequestChecks.check(request, limits);
            if (rejection.isPresent()) {
                reject(rejection.get());
                return Optional.empty();
            }
            // A body may take as long as a connection may be idle, however slowly it arrives.
            socket.guardedInput().guardBody(timeoutGuard(limits.idleTimeoutMs()));
            expectBody(request);
            HttpEntity entity = request.getEntity();
            CallerExchange exchange = new CallerExchange(request, lease);
            // Drops the objects of the library, which take more memory than the copies of them.
            request.setHeaders();
            headMeter.releaseParsed();
            exchange.complete(readBody(entity, lease), clock.nowMs());
            return Optional.of(exchange);
        } catch (MessageConstraintException e) {
            reject(new RequestChecks.Rejection(431, "the header is too large"));
        } catch (MessageLimitException e) {
            rejectAboveLimit(e.limit());
        } catch (HttpException e) {
            reject(new RequestChecks.Rejection(400, "the request cannot be read"));
        } finally {
            socket.guardedInput().clearGuard();
        }
        return Optional.empty();
    }

    private GuardedInputStream.Guard timeoutGuard(long timeoutMs) {
        return GuardedInputStream.timeoutGuard(clock, timeoutMs);
    }

    private void expectBody(ClassicHttpRequest request) throws IOException, HttpException {
        if (request.containsHeader(HttpHeaders.EXPECT)) {
            connection.sendResponseHeader(new BasicClassicHttpResponse(100));
            connection.flush();
        }
        connection.receiveRequestEntity(request);
    }

    private byte[] readBody(HttpEntity entity, ByteBudget.Lease lease) throws IOException {
        if (entity == null) {
            return new byte[0];
        }
        BoundedBuffer body = new BoundedBuffer(lease, MessageLimit.BODY, limits.bodyBytes());
        byte[] chunk = new byte[READ_CHUNK_BYTES];
        InputStream in = entity.getContent();
        for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
            body.append(chunk, 0, read);
        }
        if (socket.guardedInput().isEndReached()) {
            throw new ConnectionClosedException("the caller closed the connection too early");
        }
        return body.detach();
    }

    private void rejectAboveLimit(MessageLimit limit) throws IOException, HttpException {
        switch (limit) {
            case BODY -> reject(new RequestChecks.Rejection(413, "the body is too large"));
            case MEMORY -> {
                onMemoryRefusal.run();
                sendAndClose(
                        RelayResponse.notRun(
                                "the instance has no memory for the request",
                                MEMORY_RETRY_AFTER_MS));
            }
            default -> reject(new RequestChecks.Rejection(431, "the header is too large"));
        }
    }

    private void reject(RequestChecks.Rejection rejection) throws IOException, HttpException {
        sendAndClose(RelayResponse.generated(rejection.status(), rejection.reason()));
    }

    private void sendAndClose(RelayResponse rejection) throws IOException, HttpException {
        ClassicHttpResponse response = new BasicClassicHttpResponse(rejection.status());
        rejection.headers().forEach(field -> response.addHeader(field.name(), field.value()));
        response.setHeader(HttpHeaders.CONNECTION, "close");
        send(response, rejection.body());
        socket.discardInput(clock, DISCARD_MS);
    }

    private void send(ClassicHttpResponse response, byte[] body) throws IOException, HttpException {
        response.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
        response.setEntity(new ByteArrayEntity(body, null));
        send(response);
    }

    private void send(ClassicHttpResponse response) throws IOException, HttpException {
        connection.sendResponseHeader(response);
        if (!headRequest) {
            connection.sendResponseEntity(response);
        }
        connection.flush();
    }

    /**
     * Closes the connection if the caller reads nothing of a response for too long.
     *
     * @param writeTimeoutMs longest time for one write, in milliseconds
     */
    void closeIfWriteTimedOut(long writeTimeoutMs) {
        long unreadMs = socket.unreadMs();
        if (unreadMs > writeTimeoutMs) {
            LOG.warn(
                    "SAP1941",
                    "A caller did not read its response; its connection is closed",
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

    /** One request on this connection and its response. */
    private final class CallerExchange implements HttpServerExchange {

        private final String method;
        private final String target;
        private final ByteBudget.Lease lease;
        private byte[] body = {};
        private long receivedAtMs;
        private final List<HeaderField> headers = new ArrayList<>();
        private boolean keepAlive = true;

        CallerExchange(ClassicHttpRequest request, ByteBudget.Lease lease) {
            this.method = request.getMethod();
            this.target = request.getRequestUri();
            this.lease = lease;
            for (Header header : request.getHeaders()) {
                String value = header.getValue() == null ? "" : header.getValue();
                headers.add(new HeaderField(header.getName(), value));
                if (header.getName().equalsIgnoreCase(HttpHeaders.CONNECTION)) {
                    keepAlive &= !value.equalsIgnoreCase("close");
                }
            }
        }

        private void complete(byte[] wholeBody, long completedAtMs) {
            body = wholeBody;
            receivedAtMs = completedAtMs;
        }

        @Override
        public String method() {
            return method;
        }

        @Override
        public String target() {
            return target;
        }

        @Override
        public List<HeaderField> headers() {
            return headers;
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public ByteBudget.Lease memory() {
            return lease;
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
                send(response);
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

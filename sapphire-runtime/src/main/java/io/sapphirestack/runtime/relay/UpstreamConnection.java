package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.relay.ResponseLimits;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.http.MalformedHeadException;
import io.sapphirestack.runtime.connection.BoundedBuffer;
import io.sapphirestack.runtime.connection.EndpointHttpConnections;
import io.sapphirestack.runtime.connection.GuardedInputStream;
import io.sapphirestack.runtime.connection.MessageLimit;
import io.sapphirestack.runtime.connection.MessageLimitException;
import io.sapphirestack.runtime.connection.TrackedSocket;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP/1.1 connection to one process of an endpoint; carries one request at a time. All reads run
 * under a {@link WaitCheck} and under the {@link ResponseLimits}. Not thread-safe, except for
 * {@link #closeIfSendIsOverdue()}.
 */
final class UpstreamConnection implements Closeable {

    private static final EventLog LOG = EventLog.of(UpstreamConnection.class);

    private static final int BUFFER_BYTES = 4_096;
    private static final int READ_CHUNK_BYTES = 4_096;
    private static final int MAX_HEADER_FIELDS = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final long NO_SEND = Long.MAX_VALUE;

    private final EndpointState endpoint;
    private final TrackedSocket socket;
    private final DefaultBHttpClientConnection connection;
    private final Environment environment;
    private InputStream content;
    private String lastRequestId = "";
    private int sentRequests;
    private int receivedResponses;
    private boolean expectsBody = true;
    private boolean hasFramedEnd;
    private boolean keepAlive;
    private boolean bodyConsumed = true;
    private long keepAliveTimeoutMs;
    private long idleSinceMs;
    private volatile long sendDeadlineAtMs = NO_SEND;

    private UpstreamConnection(
            EndpointState endpoint,
            TrackedSocket socket,
            DefaultBHttpClientConnection connection,
            Environment environment) {
        this.endpoint = endpoint;
        this.socket = socket;
        this.connection = connection;
        this.environment = environment;
    }

    /**
     * What all connections of a pool share.
     *
     * @param limits limits on each response
     * @param sending connections that are sending a request; thread-safe
     * @param clock monotonic clock
     */
    record Environment(ResponseLimits limits, Set<UpstreamConnection> sending, MillisClock clock) {}

    /** Called repeatedly while a connection receives data; decides whether the wait continues. */
    @FunctionalInterface
    interface WaitCheck {

        /**
         * Checks the wait; called about every {@link GuardedInputStream#CHECK_INTERVAL_MS}.
         *
         * @throws ServiceException if the wait must end
         */
        void check() throws ServiceException;
    }

    /** Carries the exception of a {@link WaitCheck} through the HTTP library. */
    private static final class WaitEndedException extends IOException {

        private static final long serialVersionUID = 1L;

        private final ServiceException reason;

        WaitEndedException(ServiceException reason) {
            super(reason);
            this.reason = reason;
        }
    }

    /**
     * Opens a connection.
     *
     * @param timeoutMs connect timeout in milliseconds
     * @throws UpstreamException if the endpoint cannot be reached; nothing was sent then
     */
    static UpstreamConnection open(EndpointState endpoint, long timeoutMs, Environment environment)
            throws UpstreamException {
        TrackedSocket socket = new TrackedSocket();
        try {
            String address = endpoint.address();
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    (int) Math.max(1, timeoutMs));
            DefaultBHttpClientConnection connection =
                    EndpointHttpConnections.create(config(environment.limits()));
            connection.bind(socket);
            connection.setSocketTimeout(
                    Timeout.ofMilliseconds(GuardedInputStream.CHECK_INTERVAL_MS));
            return new UpstreamConnection(endpoint, socket, connection, environment);
        } catch (IOException | RuntimeException e) {
            closeQuietly(socket);
            throw new UpstreamException(
                    "connect", endpoint.address(), "the endpoint cannot be reached", false, e);
        }
    }

    private static Http1Config config(ResponseLimits limits) {
        return Http1Config.custom()
                .setBufferSize(BUFFER_BYTES)
                .setMaxHeaderCount(MAX_HEADER_FIELDS)
                .setMaxLineLength(limits.lineBytes())
                .build();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The caller reports the failure to connect instead.
        }
    }

    EndpointState endpoint() {
        return endpoint;
    }

    /**
     * Sends a request with its whole body. A send that lasts until the deadline of the request
     * fails, see {@link #closeIfSendIsOverdue()}.
     *
     * @param request request
     * @param headers header fields for the endpoint
     * @throws UpstreamException if the request could not be sent as a whole
     */
    void send(RelayedRequest request, List<HeaderField> headers) throws UpstreamException {
        bodyConsumed = false;
        lastRequestId = request.id();
        sentRequests++;
        String method = request.exchange().method();
        byte[] body = request.exchange().body();
        expectsBody = !method.equals("HEAD");
        ClassicHttpRequest message =
                new BasicClassicHttpRequest(method, request.exchange().target());
        headers.forEach(field -> message.addHeader(field.name(), field.value()));
        boolean hasBody = body.length > 0 || !method.equals("GET") && expectsBody;
        if (hasBody) {
            message.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
            message.setEntity(new ByteArrayEntity(body, null));
        }
        sendDeadlineAtMs = request.deadlineAtMs();
        environment.sending().add(this);
        try {
            connection.sendRequestHeader(message);
            if (hasBody) {
                connection.sendRequestEntity(message);
            }
            connection.flush();
        } catch (IOException | HttpException | RuntimeException e) {
            throw createException("send", "sending the request failed", e);
        } finally {
            sendDeadlineAtMs = NO_SEND;
            environment.sending().remove(this);
        }
    }

    /**
     * Closes the connection if it is still sending a request whose deadline has passed. A blocked
     * write has no timeout, so another thread must end it. Thread-safe.
     */
    void closeIfSendIsOverdue() {
        if (environment.clock().nowMs() >= sendDeadlineAtMs) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    /** Returns whether this connection has carried a response or request before the current one. */
    boolean isReused() {
        return sentRequests > 1 || receivedResponses > 1;
    }

    /** Waits for the head of the next response; skips interim heads. */
    UpstreamResponseHead receiveHead(WaitCheck check) throws ServiceException {
        ResponseLimits limits = environment.limits();
        try {
            // The library reads ahead by up to its buffer.
            socket.guardedInput()
                    .guardHead(guardOf(check), (long) limits.headBytes() + BUFFER_BYTES);
            ClassicHttpResponse response = connection.receiveResponseHeader();
            for (int interim = 1; response.getCode() < FIRST_FINAL_STATUS; interim++) {
                limitInterimHeads(interim);
                response = connection.receiveResponseHeader();
            }
            requireNotTruncated();
            receivedResponses++;
            UpstreamResponseHead head = headOf(response);
            keepAlive =
                    ResponseFraming.keepsConnection(
                            head, !response.getVersion().lessEquals(HttpVersion.HTTP_1_0));
            keepAliveTimeoutMs =
                    ResponseFraming.keepAliveTimeoutMs(head)
                            .orElse(UpstreamPool.DEFAULT_KEEP_ALIVE_MS);
            hasFramedEnd = ResponseFraming.hasKnownLength(head);
            content = contentOf(response);
            return head;
        } catch (IOException | HttpException | RuntimeException e) {
            throw failure("the connection failed before the head of the response was complete", e);
        }
    }

    private void limitInterimHeads(int count) throws MessageLimitException {
        if (count > environment.limits().interimHeads()) {
            throw new MessageLimitException(
                    MessageLimit.INTERIM_HEADS, environment.limits().interimHeads());
        }
    }

    private static UpstreamResponseHead headOf(ClassicHttpResponse response) {
        List<HeaderField> headers = new ArrayList<>();
        for (Header header : response.getHeaders()) {
            String value = header.getValue() == null ? "" : header.getValue();
            headers.add(new HeaderField(header.getName(), value));
        }
        return new UpstreamResponseHead(response.getCode(), headers);
    }

    private InputStream contentOf(ClassicHttpResponse response) throws IOException, HttpException {
        if (!expectsBody || ResponseFraming.isWithoutBody(response.getCode())) {
            return InputStream.nullInputStream();
        }
        connection.receiveResponseEntity(response);
        HttpEntity entity = response.getEntity();
        return entity == null ? InputStream.nullInputStream() : entity.getContent();
    }

    private static GuardedInputStream.Guard guardOf(WaitCheck check) {
        return () -> {
            try {
                check.check();
            } catch (ServiceException e) {
                throw new WaitEndedException(e);
            }
        };
    }

    /**
     * Reads bytes of the body; waits until some arrive or the check ends the wait.
     *
     * @return number of bytes, or -1 at the end of the body
     */
    int read(byte[] buffer, WaitCheck check) throws ServiceException {
        try {
            socket.guardedInput().guardBody(guardOf(check));
            return readContent(buffer);
        } catch (IOException | RuntimeException e) {
            throw failure("the connection failed within the body of the response", e);
        }
    }

    private int readContent(byte[] buffer) throws IOException {
        int read = content.read(buffer);
        if (read < 0) {
            if (hasFramedEnd) {
                requireNotTruncated();
            }
            bodyConsumed = true;
        }
        return read;
    }

    /**
     * Reads the rest of the body.
     *
     * @param memory memory of the body
     * @param check decides whether the wait for the body continues
     * @return the body
     * @throws ServiceException if the check ends the wait, the body exceeds a limit, or the
     *     connection fails before its end
     */
    byte[] readBody(ByteBudget.Lease memory, WaitCheck check) throws ServiceException {
        BoundedBuffer body =
                new BoundedBuffer(memory, MessageLimit.BODY, environment.limits().bodyBytes());
        byte[] chunk = new byte[READ_CHUNK_BYTES];
        try {
            socket.guardedInput().guardBody(guardOf(check));
            for (int read = readContent(chunk); read >= 0; read = readContent(chunk)) {
                body.append(chunk, 0, read);
            }
            return body.detach();
        } catch (IOException | RuntimeException e) {
            body.clear();
            throw failure("the connection failed within the body of the response", e);
        }
    }

    /** Reads and discards the rest of the body, which counts towards the limit of a body. */
    void discardBody(WaitCheck check) throws ServiceException {
        byte[] chunk = new byte[READ_CHUNK_BYTES];
        int maxBytes = environment.limits().bodyBytes();
        try {
            socket.guardedInput().guardBody(guardOf(check));
            long discardedBytes = 0;
            for (int read = readContent(chunk); read >= 0; read = readContent(chunk)) {
                discardedBytes += read;
                if (discardedBytes > maxBytes) {
                    throw new MessageLimitException(MessageLimit.BODY, maxBytes);
                }
            }
        } catch (IOException | RuntimeException e) {
            throw failure("the connection failed within a response to another request", e);
        }
    }

    /** Returns the exception for a failed read: the reason of the check, or a broken response. */
    private ServiceException failure(String message, Exception cause) {
        if (cause instanceof WaitEndedException ended) {
            return ended.reason;
        }
        if (cause instanceof MessageLimitException exceeded) {
            return limitExceeded(exceeded.limit(), exceeded);
        }
        if (cause instanceof MessageConstraintException) {
            return limitExceeded(MessageLimit.LINE, cause);
        }
        if (cause instanceof MalformedHeadException) {
            return createException(
                    "receive", "the response is no HTTP: " + cause.getMessage(), cause);
        }
        if (cause instanceof MalformedChunkCodingException
                && !(cause instanceof TruncatedChunkException)) {
            // Its message may contain what the endpoint sent.
            return createException("receive", "the chunks of the response are no HTTP", cause);
        }
        return createException("receive", message, cause);
    }

    /** Logs that a limit is exceeded; returns the exception that ends the attempt. */
    UpstreamException limitExceeded(MessageLimit limit, Exception cause) {
        LOG.warn(
                "SAP1925",
                "The response of an endpoint exceeds a limit; its connection is closed",
                "request",
                lastRequestId,
                "endpoint",
                endpoint.id(),
                "limit",
                limit,
                "cause",
                cause.getMessage());
        return createException("receive", "the response exceeds the limit " + limit, cause);
    }

    private void requireNotTruncated() throws IOException {
        if (socket.guardedInput().isEndReached()) {
            throw new ConnectionClosedException("the endpoint closed the connection too early");
        }
    }

    private UpstreamException createException(String step, String message, Exception cause) {
        return new UpstreamException(step, endpoint.address(), message, true, cause);
    }

    /** Returns whether the last response allows another request on this connection. */
    boolean isReusable() {
        return bodyConsumed && keepAlive && connection.isOpen() && !hasUnreadInput();
    }

    /** Returns whether bytes follow the last response; they do not belong to any request. */
    private boolean hasUnreadInput() {
        try {
            GuardedInputStream input = socket.guardedInput();
            input.clearGuard();
            input.setBlocking(false);
            try {
                return connection.isDataAvailable(Timeout.ofMilliseconds(1));
            } finally {
                input.setBlocking(true);
            }
        } catch (IOException e) {
            LOG.debug("SAP1926", "An idle connection to an endpoint failed", "cause", e);
            return true;
        }
    }

    void markIdle() {
        idleSinceMs = environment.clock().nowMs();
    }

    /** Returns whether the connection was idle for so long that the endpoint may soon close it. */
    boolean isExpired() {
        return environment.clock().nowMs() - idleSinceMs
                > keepAliveTimeoutMs * UpstreamPool.KEEP_ALIVE_FRACTION;
    }

    /**
     * Returns whether an idle connection cannot be used for a request: it has expired, was closed,
     * has unexpected data, or its last request had the same identifier, so that a late copy of that
     * response would be taken for the response to this request.
     */
    boolean isUnusableFor(String requestId) {
        if (isExpired() || requestId.equals(lastRequestId)) {
            return true;
        }
        try {
            return connection.isStale() || hasUnreadInput();
        } catch (IOException e) {
            LOG.debug("SAP1926", "An idle connection to an endpoint failed", "cause", e);
            return true;
        }
    }

    @Override
    public void close() {
        connection.close(CloseMode.IMMEDIATE);
    }
}

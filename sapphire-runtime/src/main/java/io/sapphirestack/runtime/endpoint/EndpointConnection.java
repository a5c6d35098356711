package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.connection.EndpointHttpConnections;
import io.sapphirestack.runtime.connection.TrackedSocket;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Objects;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP/1.1 connection to an endpoint. It is opened before a request is sent, so that a failed
 * connect is known to have sent no byte of the request. Not thread-safe, except that {@link
 * #close()} may be called from any thread to abort an exchange.
 */
public final class EndpointConnection implements Closeable {

    /** Maximum size of the head of a response, interim heads included, in bytes. */
    private static final int MAX_HEAD_BYTES = 65_536;

    /** Also limits the lines of chunked bodies. */
    private static final Http1Config HTTP_CONFIG =
            Http1Config.custom().setMaxLineLength(MAX_HEAD_BYTES).build();

    private final String address;
    private final TrackedSocket socket;
    private final DefaultBHttpClientConnection connection;
    private final long readTimeoutMs;
    private final MillisClock clock = MillisClock.monotonic();
    private final HttpRequestExecutor executor = new HttpRequestExecutor();

    private EndpointConnection(
            String address,
            TrackedSocket socket,
            DefaultBHttpClientConnection connection,
            long readTimeoutMs) {
        this.address = address;
        this.socket = socket;
        this.connection = connection;
        this.readTimeoutMs = readTimeoutMs;
    }

    /**
     * Connects to an endpoint.
     *
     * @param address {@code host:port}
     * @param connectTimeoutMs connect timeout in milliseconds, positive
     * @param readTimeoutMs read timeout in milliseconds: the maximum time without data while
     *     receiving, and to receive the head of a response, positive
     * @return an open connection
     * @throws EndpointException if the connection could not be established; no byte of a request
     *     was sent
     */
    public static EndpointConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        Objects.requireNonNull(address, "address");
        TrackedSocket socket = new TrackedSocket();
        try {
            int colon = address.lastIndexOf(':');
            InetSocketAddress target =
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1)));
            socket.setTcpNoDelay(true);
            socket.connect(target, Math.toIntExact(connectTimeoutMs));
            DefaultBHttpClientConnection connection = EndpointHttpConnections.create(HTTP_CONFIG);
            connection.bind(socket);
            connection.setSocketTimeout(Timeout.ofMilliseconds(readTimeoutMs));
            return new EndpointConnection(address, socket, connection, readTimeoutMs);
        } catch (IOException | RuntimeException e) {
            closeQuietly(socket);
            throw new EndpointException(
                    "connect",
                    address,
                    "connection failed",
                    false,
                    e instanceof SocketTimeoutException,
                    e);
        }
    }

    /**
     * Sends a request and receives the head of the response. The calling code consumes the entity.
     *
     * @param request request with a relative path; this method sets {@code Host} and the headers of
     *     the body
     * @return response whose entity streams from the connection
     * @throws EndpointException if the exchange failed or timed out; the request may have been
     *     executed
     */
    public ClassicHttpResponse exchange(ClassicHttpRequest request) throws EndpointException {
        request.setHeader("Host", address);
        HttpEntity entity = request.getEntity();
        if (entity != null) {
            setContentHeaders(request, entity);
        }
        try {
            long headDeadlineMs = clock.nowMs() + readTimeoutMs;
            socket.guardedInput().guardHead(() -> requireBefore(headDeadlineMs), MAX_HEAD_BYTES);
            ClassicHttpResponse response =
                    executor.execute(request, connection, HttpCoreContext.create());
            requireNotTruncated();
            socket.guardedInput().clearGuard();
            return response;
        } catch (SocketTimeoutException e) {
            throw new EndpointException("receive", address, "read timed out", true, true, e);
        } catch (IOException | HttpException | RuntimeException e) {
            throw new EndpointException("exchange", address, "exchange failed", true, false, e);
        }
    }

    /**
     * Ends all further reads of the current response after a time, also if single bytes keep
     * arriving.
     *
     * @param timeoutMs time from now, in milliseconds, positive
     * @throws IOException if the connection is closed
     */
    public void limitBodyTime(long timeoutMs) throws IOException {
        long deadlineMs = clock.nowMs() + timeoutMs;
        socket.guardedInput().guardBody(() -> requireBefore(deadlineMs));
    }

    private void requireBefore(long deadlineMs) throws SocketTimeoutException {
        if (clock.nowMs() >= deadlineMs) {
            throw new SocketTimeoutException("the response did not arrive in time");
        }
    }

    /** Rejects a head that the endpoint did not complete, which the HTTP library accepts. */
    private void requireNotTruncated() throws IOException {
        if (socket.guardedInput().isEndReached()) {
            throw new ConnectionClosedException("the response ends within its head");
        }
    }

    /** Returns whether the endpoint has sent bytes that belong to no request. */
    public boolean hasUnreadInput() {
        return socket.hasUnreadInput();
    }

    // The request executor does not add these headers, and it refuses a body without a length.
    private static void setContentHeaders(ClassicHttpRequest request, HttpEntity entity) {
        if (entity.getContentLength() >= 0) {
            request.setHeader("Content-Length", entity.getContentLength());
        } else {
            request.setHeader("Transfer-Encoding", "chunked");
        }
        if (entity.getContentType() != null) {
            request.setHeader("Content-Type", entity.getContentType());
        }
    }

    /** Returns the address of the endpoint. */
    public String address() {
        return address;
    }

    @Override
    public void close() {
        connection.close(org.apache.hc.core5.io.CloseMode.IMMEDIATE);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Ignored: the socket has not carried any data.
        }
    }
}

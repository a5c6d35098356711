package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.error.ServiceException;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * HTTP/1.1 connection to one process of an endpoint; carries one request at a time. Not
 * thread-safe.
 */
final class UpstreamConnection implements Closeable {

    /** Interval at which a wait for data calls its {@link WaitCheck}, in milliseconds. */
    static final long POLL_INTERVAL_MS = 50;

    private static final int BUFFER_BYTES = 4_096;
    private static final int READ_CHUNK_BYTES = 4_096;
    private static final int MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024;
    private static final Http1Config CONFIG =
            Http1Config.custom().setBufferSize(BUFFER_BYTES).setMaxHeaderCount(100).build();

    private final EndpointState endpoint;
    private final Socket socket;
    private final DefaultBHttpClientConnection connection;
    private final MillisClock clock;
    private ClassicHttpResponse response;
    private InputStream content;
    private boolean keepAlive;
    private boolean bodyConsumed = true;
    private long keepAliveTimeoutMs;
    private long idleSinceMs;

    private UpstreamConnection(
            EndpointState endpoint,
            Socket socket,
            DefaultBHttpClientConnection connection,
            MillisClock clock) {
        this.endpoint = endpoint;
        this.socket = socket;
        this.connection = connection;
        this.clock = clock;
    }

    /** Called repeatedly while a connection waits for data; decides whether the wait continues. */
    @FunctionalInterface
    interface WaitCheck {

        /**
         * Checks the wait; called about every {@link #POLL_INTERVAL_MS}.
         *
         * @throws ServiceException if the wait must end
         */
        void check() throws ServiceException;
    }

    /**
     * Opens a connection.
     *
     * @param timeoutMs connect timeout in milliseconds
     * @throws UpstreamException if the endpoint cannot be reached; nothing was sent then
     */
    static UpstreamConnection open(EndpointState endpoint, long timeoutMs, MillisClock clock)
            throws UpstreamException {
        Socket socket = new Socket();
        try {
            String address = endpoint.address();
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    (int) Math.max(1, timeoutMs));
            DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(CONFIG);
            connection.bind(socket);
            return new UpstreamConnection(endpoint, socket, connection, clock);
        } catch (IOException | RuntimeException e) {
            closeQuietly(socket);
            throw new UpstreamException(
                    "connect", endpoint.address(), "the endpoint cannot be reached", false, e);
        }
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

    /** Sends a request with its whole body. */
    void send(String method, String target, List<HeaderField> headers, byte[] body)
            throws UpstreamException {
        bodyConsumed = false;
        ClassicHttpRequest request = new BasicClassicHttpRequest(method, target);
        headers.forEach(field -> request.addHeader(field.name(), field.value()));
        boolean hasBody = body.length > 0 || !method.equals("GET") && !method.equals("HEAD");
        if (hasBody) {
            request.setHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(body.length));
            request.setEntity(new ByteArrayEntity(body, null));
        }
        try {
            connection.sendRequestHeader(request);
            if (hasBody) {
                connection.sendRequestEntity(request);
            }
            connection.flush();
        } catch (IOException | HttpException | RuntimeException e) {
            throw createException("send", "sending the request failed", e);
        }
    }

    /** Waits for the head of the next response. */
    UpstreamResponseHead receiveHead(WaitCheck check) throws ServiceException {
        try {
            awaitData(check);
            connection.setSocketTimeout(Timeout.ofMilliseconds(POLL_INTERVAL_MS * 10));
            response = connection.receiveResponseHeader();
            List<HeaderField> headers = new ArrayList<>();
            for (Header header : response.getHeaders()) {
                String value = header.getValue() == null ? "" : header.getValue();
                headers.add(new HeaderField(header.getName(), value));
            }
            UpstreamResponseHead head = new UpstreamResponseHead(response.getCode(), headers);
            updateKeepAlive(head);
            connection.receiveResponseEntity(response);
            HttpEntity entity = response.getEntity();
            content = entity == null ? InputStream.nullInputStream() : entity.getContent();
            connection.setSocketTimeout(Timeout.ofMilliseconds(POLL_INTERVAL_MS));
            return head;
        } catch (IOException | HttpException | RuntimeException e) {
            throw createException(
                    "receive",
                    "the connection failed before the head of the response was complete",
                    e);
        }
    }

    private void awaitData(WaitCheck check) throws IOException, ServiceException {
        while (!connection.isDataAvailable(Timeout.ofMilliseconds(POLL_INTERVAL_MS))) {
            if (connection.isStale()) {
                throw createException("receive", "the endpoint closed the connection", null);
            }
            check.check();
        }
    }

    private void updateKeepAlive(UpstreamResponseHead head) {
        boolean hasKnownLength =
                head.header(HttpHeaders.CONTENT_LENGTH).isPresent()
                        || head.header(HttpHeaders.TRANSFER_ENCODING).isPresent()
                        || head.status() == 204
                        || head.status() == 304;
        keepAlive =
                hasKnownLength
                        && head.header(HttpHeaders.CONNECTION)
                                .filter(v -> v.equalsIgnoreCase("close"))
                                .isEmpty();
        keepAliveTimeoutMs =
                head.header(HttpHeaders.KEEP_ALIVE)
                        .map(UpstreamConnection::keepAliveTimeoutMs)
                        .orElse(UpstreamPool.DEFAULT_KEEP_ALIVE_MS);
    }

    private static long keepAliveTimeoutMs(String value) {
        for (String part : value.split(",")) {
            String[] pair = part.trim().split("=");
            if (pair.length == 2
                    && pair[0].equalsIgnoreCase("timeout")
                    && pair[1].matches("[0-9]{1,6}")) {
                return Long.parseLong(pair[1]) * 1_000;
            }
        }
        return UpstreamPool.DEFAULT_KEEP_ALIVE_MS;
    }

    /**
     * Reads bytes of the body; returns their number, 0 if none arrived within {@link
     * #POLL_INTERVAL_MS}, or -1 at the end of the body.
     */
    int read(byte[] buffer) throws UpstreamException {
        try {
            int read = content.read(buffer);
            if (read < 0) {
                bodyConsumed = true;
            }
            return read;
        } catch (SocketTimeoutException e) {
            return 0;
        } catch (IOException | RuntimeException e) {
            throw createException(
                    "receive", "the connection failed within the body of the response", e);
        }
    }

    /** Reads the rest of the body. */
    byte[] readBody(WaitCheck check) throws ServiceException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[READ_CHUNK_BYTES];
        for (int read = read(buffer); read >= 0; read = read(buffer)) {
            body.write(buffer, 0, read);
            if (read == 0) {
                check.check();
            }
            if (body.size() > MAX_RESPONSE_BODY_BYTES) {
                throw createException(
                        "receive",
                        "the body of the response is larger than "
                                + MAX_RESPONSE_BODY_BYTES
                                + " bytes",
                        null);
            }
        }
        return body.toByteArray();
    }

    private UpstreamException createException(String step, String message, Exception cause) {
        return new UpstreamException(step, endpoint.address(), message, true, cause);
    }

    /** Returns whether the last response allows another request on this connection. */
    boolean isReusable() {
        return bodyConsumed && keepAlive && connection.isOpen();
    }

    void markIdle() {
        idleSinceMs = clock.nowMs();
    }

    /** Returns whether the connection was idle for so long that the endpoint may soon close it. */
    boolean isExpired() {
        return clock.nowMs() - idleSinceMs > keepAliveTimeoutMs * UpstreamPool.KEEP_ALIVE_FRACTION;
    }

    /** Returns whether an idle connection has expired, was closed, or has unexpected data. */
    boolean isUnusable() {
        if (isExpired()) {
            return true;
        }
        try {
            // Bytes after a complete response do not belong to any request.
            return socket.getInputStream().available() > 0 || connection.isStale();
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() {
        connection.close(CloseMode.IMMEDIATE);
    }
}

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

/** Connection to one life of an endpoint; carries one request at a time. Not thread-safe. */
final class UpstreamConnection implements Closeable {

    /** Time between two looks at whether the wait has to end, in milliseconds. */
    static final long TICK_MS = 50;

    private static final int BUFFER_BYTES = 4_096;
    private static final int READ_CHUNK_BYTES = 4_096;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final Http1Config CONFIG =
            Http1Config.custom().setBufferSize(BUFFER_BYTES).setMaxHeaderCount(100).build();

    private final EndpointState endpoint;
    private final Socket socket;
    private final DefaultBHttpClientConnection connection;
    private final MillisClock clock;
    private ClassicHttpResponse response;
    private InputStream content;
    private boolean keepAlive;
    private boolean clean = true;
    private long keepAliveMs;
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

    /** Decides while a connection waits for bytes whether the wait goes on. */
    @FunctionalInterface
    interface WaitCheck {

        /**
         * Called about every {@link #TICK_MS}.
         *
         * @throws ServiceException if the wait has to end
         */
        void check() throws ServiceException;
    }

    /** Opens a connection; a failure means that nothing was sent. */
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
            // The failure of the connection itself is reported.
        }
    }

    EndpointState endpoint() {
        return endpoint;
    }

    /** Sends a request with its whole body. */
    void send(String method, String target, List<HeaderField> headers, byte[] body)
            throws UpstreamException {
        clean = false;
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
            throw failed("send", "the request was not sent whole", e);
        }
    }

    /** Waits for the header of the answer. */
    UpstreamAnswer receiveHeader(WaitCheck check) throws ServiceException {
        try {
            awaitData(check);
            connection.setSocketTimeout(Timeout.ofMilliseconds(TICK_MS * 10));
            response = connection.receiveResponseHeader();
            List<HeaderField> headers = new ArrayList<>();
            for (Header header : response.getHeaders()) {
                String value = header.getValue() == null ? "" : header.getValue();
                headers.add(new HeaderField(header.getName(), value));
            }
            UpstreamAnswer answer = new UpstreamAnswer(response.getCode(), headers);
            noteKeepAlive(answer);
            connection.receiveResponseEntity(response);
            HttpEntity entity = response.getEntity();
            content = entity == null ? InputStream.nullInputStream() : entity.getContent();
            connection.setSocketTimeout(Timeout.ofMilliseconds(TICK_MS));
            return answer;
        } catch (IOException | HttpException | RuntimeException e) {
            throw failed("receive", "the endpoint broke off before its answer", e);
        }
    }

    private void awaitData(WaitCheck check) throws IOException, ServiceException {
        while (!connection.isDataAvailable(Timeout.ofMilliseconds(TICK_MS))) {
            if (connection.isStale()) {
                throw failed("receive", "the endpoint closed the connection", null);
            }
            check.check();
        }
    }

    private void noteKeepAlive(UpstreamAnswer answer) {
        boolean framed =
                answer.header(HttpHeaders.CONTENT_LENGTH).isPresent()
                        || answer.header(HttpHeaders.TRANSFER_ENCODING).isPresent()
                        || answer.status() == 204
                        || answer.status() == 304;
        keepAlive =
                framed
                        && answer.header(HttpHeaders.CONNECTION)
                                .filter(v -> v.equalsIgnoreCase("close"))
                                .isEmpty();
        keepAliveMs =
                answer.header(HttpHeaders.KEEP_ALIVE)
                        .map(UpstreamConnection::keepAliveMs)
                        .orElse(UpstreamPool.DEFAULT_IDLE_MS);
    }

    private static long keepAliveMs(String value) {
        for (String part : value.split(",")) {
            String[] pair = part.trim().split("=");
            if (pair.length == 2
                    && pair[0].equalsIgnoreCase("timeout")
                    && pair[1].matches("[0-9]{1,6}")) {
                return Long.parseLong(pair[1]) * 1_000;
            }
        }
        return UpstreamPool.DEFAULT_IDLE_MS;
    }

    /** Reads some bytes of the body; returns how many, 0 after {@link #TICK_MS}, -1 at its end. */
    int read(byte[] buffer) throws UpstreamException {
        try {
            int read = content.read(buffer);
            if (read < 0) {
                clean = true;
            }
            return read;
        } catch (SocketTimeoutException e) {
            return 0;
        } catch (IOException | RuntimeException e) {
            throw failed("receive", "the endpoint broke off within its answer", e);
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
            if (body.size() > MAX_ANSWER_BYTES) {
                throw failed("receive", "the answer is too large", null);
            }
        }
        return body.toByteArray();
    }

    private UpstreamException failed(String step, String message, Exception cause) {
        return new UpstreamException(step, endpoint.address(), message, true, cause);
    }

    /** Returns whether another request may use the connection after the last answer. */
    boolean isReusable() {
        return clean && keepAlive && connection.isOpen();
    }

    void idle() {
        idleSinceMs = clock.nowMs();
    }

    /** Returns whether the connection was idle for so long that the endpoint may close it. */
    boolean isExpired() {
        return clock.nowMs() - idleSinceMs > keepAliveMs * UpstreamPool.IDLE_SHARE;
    }

    /** Returns whether an idle connection is too old, closed, or holds bytes nobody asked for. */
    boolean isSpent() {
        if (isExpired()) {
            return true;
        }
        try {
            // Bytes after a complete answer belong to no request.
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

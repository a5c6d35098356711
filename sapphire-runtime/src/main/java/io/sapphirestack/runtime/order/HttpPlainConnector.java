package io.sapphirestack.runtime.order;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.runtime.connection.BoundedBuffer;
import io.sapphirestack.runtime.connection.MessageLimit;
import io.sapphirestack.runtime.endpoint.EndpointConnection;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/** Connects to endpoints of plain services over HTTP/1.1. Thread-safe. */
public final class HttpPlainConnector implements PlainConnector {

    private static final String REQUEST_ID_HEADER = "Sapphire-Request-Id";

    // Responses to orders are stored in the control log, whose frames are limited to 8 MiB.
    private static final int MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024;

    private static final int READ_CHUNK_BYTES = 4_096;

    private final ByteBudget memory;
    private final long bodyTimeoutMs;

    /**
     * Creates a connector.
     *
     * @param memory memory for the bodies of the responses that are being received
     * @param bodyTimeoutMs longest time for the body of a response, in milliseconds, positive
     */
    public HttpPlainConnector(ByteBudget memory, long bodyTimeoutMs) {
        this.memory = Objects.requireNonNull(memory, "memory");
        this.bodyTimeoutMs = bodyTimeoutMs;
    }

    @Override
    public PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        return new HttpPlainConnection(
                EndpointConnection.open(address, connectTimeoutMs, readTimeoutMs));
    }

    /**
     * Connection that carries one request at a time. Each request has an identifier, which a
     * service repeats in its response. Without it, a late copy of an earlier response could not be
     * told from the response to the current request, so the connection is not used again.
     */
    private final class HttpPlainConnection implements PlainConnection {

        private final EndpointConnection connection;
        private boolean isReused;

        HttpPlainConnection(EndpointConnection connection) {
            this.connection = connection;
        }

        @Override
        public PlainResponse send(
                String method, String path, Map<String, String> headers, byte[] body)
                throws EndpointException {
            BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
            headers.forEach(request::setHeader);
            String id = Long.toHexString(ThreadLocalRandom.current().nextLong());
            request.setHeader(REQUEST_ID_HEADER, id);
            if (body != null) {
                request.setEntity(new ByteArrayEntity(body, null));
                request.setHeader("Content-Length", body.length);
            }
            requireNoUnreadInput();
            ClassicHttpResponse response = connection.exchange(request);
            String responseId = headerValue(response.getFirstHeader(REQUEST_ID_HEADER));
            requireOwnResponse(id, responseId);
            isReused = true;
            try {
                connection.limitBodyTime(bodyTimeoutMs);
                byte[] responseBody = readBody(response.getEntity());
                return new PlainResponse(
                        response.getCode(),
                        headerValue(response.getFirstHeader("Content-Type")),
                        responseBody,
                        "not-run"
                                .equalsIgnoreCase(
                                        headerValue(response.getFirstHeader("Sapphire-Run"))),
                        id.equals(responseId) && !isClosing(response));
            } catch (IOException | RuntimeException e) {
                throw new EndpointException(
                        "receive",
                        connection.address(),
                        "failed to read the response body",
                        true,
                        e instanceof SocketTimeoutException,
                        e);
            }
        }

        private static boolean isClosing(ClassicHttpResponse response) {
            return "close".equalsIgnoreCase(headerValue(response.getFirstHeader("Connection")));
        }

        private void requireNoUnreadInput() throws EndpointException {
            if (isReused && connection.hasUnreadInput()) {
                throw new EndpointException(
                        "send",
                        connection.address(),
                        "the endpoint sent more than one response",
                        false,
                        false,
                        null);
            }
        }

        private void requireOwnResponse(String id, String responseId) throws EndpointException {
            boolean isOwn = responseId.isEmpty() ? !isReused : responseId.equals(id);
            if (!isOwn) {
                throw new EndpointException(
                        "receive",
                        connection.address(),
                        "the response belongs to another request",
                        true,
                        false,
                        null);
            }
        }

        private byte[] readBody(HttpEntity entity) throws IOException {
            if (entity == null) {
                return new byte[0];
            }
            InputStream in = entity.getContent();
            byte[] chunk = new byte[READ_CHUNK_BYTES];
            try (ByteBudget.Lease lease = memory.newLease()) {
                BoundedBuffer body =
                        new BoundedBuffer(lease, MessageLimit.BODY, MAX_RESPONSE_BODY_BYTES);
                for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
                    body.append(chunk, 0, read);
                }
                return body.detach();
            }
        }

        private static String headerValue(Header header) {
            return header == null ? "" : header.getValue();
        }

        @Override
        public void close() {
            connection.close();
        }
    }
}

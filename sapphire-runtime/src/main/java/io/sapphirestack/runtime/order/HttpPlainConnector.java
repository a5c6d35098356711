package io.sapphirestack.runtime.order;

import io.sapphirestack.runtime.endpoint.EndpointConnection;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/** Connects to endpoints of plain services over HTTP/1.1. Thread-safe. */
public final class HttpPlainConnector implements PlainConnector {

    // Responses to orders are stored in the control log, whose frames are limited to 8 MiB.
    private static final int MAX_RESPONSE_BODY_BYTES = 4 * 1024 * 1024;

    @Override
    public PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        return new HttpPlainConnection(
                EndpointConnection.open(address, connectTimeoutMs, readTimeoutMs));
    }

    private record HttpPlainConnection(EndpointConnection connection) implements PlainConnection {

        @Override
        public PlainResponse send(
                String method, String path, Map<String, String> headers, byte[] body)
                throws EndpointException {
            BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
            headers.forEach(request::setHeader);
            if (body != null) {
                request.setEntity(new ByteArrayEntity(body, null));
                request.setHeader("Content-Length", body.length);
            }
            ClassicHttpResponse response = connection.exchange(request);
            try {
                byte[] responseBody = readBody(response.getEntity());
                return new PlainResponse(
                        response.getCode(),
                        headerValue(response.getFirstHeader("Content-Type")),
                        responseBody,
                        "not-run"
                                .equalsIgnoreCase(
                                        headerValue(response.getFirstHeader("Sapphire-Run"))),
                        !"close"
                                .equalsIgnoreCase(
                                        headerValue(response.getFirstHeader("Connection"))));
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

        private static byte[] readBody(HttpEntity entity) throws IOException {
            if (entity == null) {
                return new byte[0];
            }
            byte[] body = entity.getContent().readNBytes(MAX_RESPONSE_BODY_BYTES + 1);
            if (body.length > MAX_RESPONSE_BODY_BYTES) {
                throw new IOException(
                        "response body is longer than " + MAX_RESPONSE_BODY_BYTES + " bytes");
            }
            return body;
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

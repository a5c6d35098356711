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

/** Connects to plain services by HTTP/1.1. Thread-safe. */
public final class HttpPlainConnector implements PlainConnector {

    // Answers are kept in the control log, whose frames hold 8 MiB.
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    @Override
    public PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        return new HttpPlainConnection(
                EndpointConnection.open(address, connectTimeoutMs, readTimeoutMs));
    }

    private record HttpPlainConnection(EndpointConnection connection) implements PlainConnection {

        @Override
        public PlainAnswer send(
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
                byte[] content = content(response.getEntity());
                return new PlainAnswer(
                        response.getCode(),
                        value(response.getFirstHeader("Content-Type")),
                        content,
                        "not-run".equalsIgnoreCase(value(response.getFirstHeader("Sapphire-Run"))),
                        !"close".equalsIgnoreCase(value(response.getFirstHeader("Connection"))));
            } catch (IOException | RuntimeException e) {
                throw new EndpointException(
                        "receive",
                        connection.address(),
                        "answer was cut off",
                        true,
                        e instanceof SocketTimeoutException,
                        e);
            }
        }

        private static byte[] content(HttpEntity entity) throws IOException {
            if (entity == null) {
                return new byte[0];
            }
            byte[] content = entity.getContent().readNBytes(MAX_ANSWER_BYTES + 1);
            if (content.length > MAX_ANSWER_BYTES) {
                throw new IOException("answer is longer than " + MAX_ANSWER_BYTES + " bytes");
            }
            return content;
        }

        private static String value(Header header) {
            return header == null ? "" : header.getValue();
        }

        @Override
        public void close() {
            connection.close();
        }
    }
}

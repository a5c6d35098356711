package io.sapphirestack.standins.support;

import io.sapphirestack.http.StrictClientConnection;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Blocking HTTP/1.1 connection to an instance or a stand-in. Not thread-safe, except that {@link
 * #close()} may be called from any thread to abort a request.
 */
public final class StandInClientConnection implements Closeable {

    private final String address;
    private final StrictClientConnection connection;

    private StandInClientConnection(String address, StrictClientConnection connection) {
        this.address = address;
        this.connection = connection;
    }

    /**
     * Opens a connection.
     *
     * @param address {@code host:port}
     * @param connectTimeoutMs timeout of the connect in milliseconds, positive
     * @param readTimeoutMs longest time without received data, in milliseconds, positive
     * @return an open connection
     * @throws IOException if the connection cannot be established
     */
    public static StandInClientConnection connect(
            String address, int connectTimeoutMs, long readTimeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    connectTimeoutMs);
            StrictClientConnection connection =
                    new StrictClientConnection(Http1Config.DEFAULT, null);
            connection.bind(socket);
            connection.setSocketTimeout(Timeout.ofMilliseconds(readTimeoutMs));
            return new StandInClientConnection(address, connection);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Sends a request and receives the head of the response. Don't close the response of a long
     * stream, since that reads the rest of its body; close this connection instead.
     *
     * @param method HTTP method
     * @param path path with query
     * @param headers additional header fields
     * @param body JSON body, or {@code null} for none
     * @return response whose entity streams from this connection
     * @throws IOException if the request cannot be sent, the response is malformed, or no data
     *     arrives within the timeout
     */
    public ClassicHttpResponse sendRequest(
            String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
        request.setHeader("Host", address);
        headers.forEach(request::setHeader);
        if (body != null) {
            request.setEntity(new ByteArrayEntity(body, ContentType.APPLICATION_JSON));
            request.setHeader("Content-Length", body.length);
            request.setHeader("Content-Type", "application/json");
        }
        try {
            return new HttpRequestExecutor().execute(request, connection, HttpCoreContext.create());
        } catch (HttpException e) {
            throw new IOException("malformed response from " + address, e);
        }
    }

    /**
     * Sends one request on a new connection and reads the whole response.
     *
     * @param address {@code host:port}
     * @param timeoutMs timeout of the connect and of each read, in milliseconds, positive
     * @param method HTTP method
     * @param path path with query
     * @param headers additional header fields
     * @param body JSON body, or {@code null} for none
     * @return the response
     * @throws IOException if the request cannot be sent, the response is malformed, or no data
     *     arrives within the timeout
     */
    public static BufferedHttpResponse sendOnNewConnection(
            String address,
            int timeoutMs,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body)
            throws IOException {
        try (StandInClientConnection connection = connect(address, timeoutMs, timeoutMs)) {
            ClassicHttpResponse response = connection.sendRequest(method, path, headers, body);
            byte[] content =
                    response.getEntity() == null
                            ? new byte[0]
                            : EntityUtils.toByteArray(response.getEntity());
            Map<String, String> fields = new java.util.TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (org.apache.hc.core5.http.Header field : response.getHeaders()) {
                fields.put(field.getName(), field.getValue());
            }
            return new BufferedHttpResponse(response.getCode(), fields, content);
        }
    }

    @Override
    public void close() {
        connection.close(CloseMode.IMMEDIATE);
    }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Connection of a client, an operator or a replica to a node. */
final class Caller implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Socket socket = new Socket();
    private final InputStream in;

    Caller(String ip, int port, int readTimeoutMs) throws IOException {
        socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(readTimeoutMs);
        socket.setTcpNoDelay(true);
        in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request; the fields are header lines, each with its line end. */
    HttpMessage call(String method, String target, String host, String fields, byte[] body)
            throws IOException {
        String head =
                "%s %s HTTP/1.1\r\nHost: %s\r\n%s".formatted(method, target, host, fields)
                        + (body.length > 0 || !method.equals("GET")
                                ? "Content-Length: " + body.length + "\r\n"
                                : "")
                        + "\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        socket.getOutputStream().write(message.toByteArray());
        socket.getOutputStream().flush();
        HttpMessage response = HttpMessage.read(in);
        if (response == null) {
            throw new IOException("the connection was closed without a response");
        }
        return response;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Connection of a client, which it keeps open for many requests. Used by one thread at a time. */
final class Connection implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Socket socket = new Socket();
    private final InputStream in;
    private String lastMethod = "";
    private boolean open = true;

    Connection(String ip, int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    boolean isOpen() {
        return open;
    }

    /** Sends a request with its whole body. */
    void send(String method, String path, List<String> fields, byte[] body) throws IOException {
        lastMethod = method;
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        fields.forEach(field -> head.append(field).append("\r\n"));
        if (body.length > 0 || method.equals("POST") || method.equals("PUT")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        socket.getOutputStream().write(message.toByteArray());
    }

    /** Waits for the answer to the last request. */
    Answer receive(int timeoutMs) {
        try {
            socket.setSoTimeout(timeoutMs);
            String statusLine = line();
            if (!statusLine.matches("HTTP/1\\.[01] [0-9]{3}( .*)?")) {
                close();
                return Answer.none("bytes that are no answer: \"" + statusLine + "\"");
            }
            int status = Integer.parseInt(statusLine.substring(9, 12));
            Map<String, String> headers = new HashMap<>();
            for (String line = line(); !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            byte[] body = body(status, headers);
            if ("close".equalsIgnoreCase(headers.get("connection"))) {
                close();
            }
            return new Answer(status, headers, body, "");
        } catch (SocketTimeoutException e) {
            close();
            return Answer.none("no answer within " + timeoutMs + " ms");
        } catch (IOException e) {
            close();
            return Answer.none("the connection ended: " + e.getMessage());
        }
    }

    private byte[] body(int status, Map<String, String> headers) throws IOException {
        if (lastMethod.equals("HEAD") || status == 204 || status == 304) {
            return new byte[0];
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
                body.write(bytes(size));
                line();
            }
            line();
            return body.toByteArray();
        }
        return bytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private byte[] bytes(int length) throws IOException {
        byte[] result = in.readNBytes(length);
        if (result.length < length) {
            throw new EOFException("end within the body");
        }
        return result;
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("closed");
            }
            line.append((char) next);
        }
        return line.toString().replaceFirst("\r$", "");
    }

    @Override
    public void close() {
        open = false;
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing depends on it.
        }
    }
}

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/** HTTP calls of a stand-in, each on a new connection. */
final class Calls {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private Calls() {}

    /**
     * Makes a call.
     *
     * @return the response, empty if there was no complete one within the timeout
     */
    static Optional<Message> call(
            String address,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body,
            int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(addressOf(address), CONNECT_TIMEOUT_MS);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), method, target, fields, body);
            return Message.read(socket.getInputStream(), true);
        } catch (IOException | RuntimeException e) {
            return Optional.empty();
        }
    }

    static InetSocketAddress addressOf(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Sends a request whose target and fields are written octet by octet. */
    static void send(
            OutputStream out,
            String method,
            String target,
            Map<String, String> fields,
            byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: " + body.length + "\r\n");
        }
        out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }
}

package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sound replica of a service: announces itself, checks Expect-Replica, runs each whole request and
 * answers it with its seal.
 */
final class Replica implements AutoCloseable {

    private static final long HEARTBEAT_MS = 1_200;
    private static final int SHORT_ANSWER_BYTES = 16;

    final String id;
    private final String service;
    private final Fleet fleet;
    private final int answerBytes;
    private final Record record;
    private final ServerSocket server;
    private final long bornMs = System.currentTimeMillis();
    private final Map<String, String> states = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Starts a replica.
     *
     * @param answerBytes size of the body of each answer, except to paths with the word short
     */
    Replica(Fleet fleet, String id, String service, int answerBytes, Record record)
            throws IOException {
        this.fleet = fleet;
        this.answerBytes = answerBytes;
        this.id = id;
        this.service = service;
        this.record = record;
        this.server = new ServerSocket(0, 200, InetAddress.getByName(fleet.serverIp()));
        daemon(this::acceptAll);
        daemon(this::announce);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns how far a request came here: "" (not at all), "head" or "ran". */
    String stateOf(String attemptId) {
        return states.getOrDefault(attemptId, "");
    }

    private void announce() {
        for (int seq = 1; !closed; seq++) {
            String beat =
                    ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":32,"
                                    + "\"replica_state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":%d,\"born\":%d}")
                            .formatted(service, fleet.serverIp(), server.getLocalPort(), seq, bornMs);
            for (int i = 0; i < fleet.size; i++) {
                int status = fleet.control((seq + i) % fleet.size, "PUT", "/replicas/" + id, beat).status();
                if (status == 200) {
                    break;
                }
            }
            Fleet.sleep(HEARTBEAT_MS);
        }
    }

    private void acceptAll() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (serveRequest(in, socket)) {
                continue;
            }
        } catch (IOException e) {
            // The caller closed its connection, also in the middle of a request.
        }
    }

    private boolean serveRequest(InputStream in, Socket socket) throws IOException {
        String requestLine = line(in);
        if (requestLine.isEmpty()) {
            return false;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        String attemptId = headers.getOrDefault("attempt-id", "");
        states.put(attemptId, "head");
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        if (in.readNBytes(length).length < length) {
            record.write("replica: request %s broke off within its body", attemptId);
            return false;
        }
        String expected = headers.getOrDefault("expect-replica", id);
        String answer;
        int bodyBytes = requestLine.contains("short") ? SHORT_ANSWER_BYTES : answerBytes;
        byte[] body = "x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII);
        if (!expected.equals(id)) {
            body = new byte[0];
            answer = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n";
        } else {
            states.put(attemptId, "ran");
            record.write("replica: ran %s, request %s", requestLine, attemptId);
            answer = "HTTP/1.1 200 OK\r\nReplica-Seal: seal-" + attemptId + "\r\n";
        }
        answer += "Attempt-Id: " + attemptId + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + body.length + "\r\n\r\n";
        byte[] head = answer.getBytes(StandardCharsets.US_ASCII);
        byte[] message = new byte[head.length + (requestLine.startsWith("HEAD ") ? 0 : body.length)];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, message.length - head.length);
        socket.getOutputStream().write(message);
        return true;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.length() == 0) {
                    return "";
                }
                throw new EOFException("closed");
            }
            line.append((char) next);
        }
        return line.toString().replaceFirst("\r$", "");
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}

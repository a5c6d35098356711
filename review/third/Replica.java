import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a sound replica of a plain service that runs each request at once. */
class Replica implements AutoCloseable {

    private static final long HEARTBEAT_MS = 1_200;
    private static final int PORT = 8_080;

    protected final Record record;
    private final String service;
    private final String id;
    private final String zone;
    private final List<String> controlAddresses;
    private final long bornMs = System.currentTimeMillis();
    private final ServerSocket server = new ServerSocket();
    private final AtomicLong sequence = new AtomicLong();
    private final List<Run> runs = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Request that the replica ran. */
    record Run(String requestId, String method, String target, String tenant) {}

    Replica(
            Record record,
            String service,
            String id,
            String ip,
            String zone,
            List<String> controlAddresses)
            throws IOException {
        this.record = record;
        this.service = service;
        this.id = id;
        this.zone = zone;
        this.controlAddresses = controlAddresses;
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), PORT));
        startThread(this::acceptConnections);
        startThread(this::sendHeartbeats);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String id() {
        return id;
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    private void sendHeartbeats() {
        for (int i = 0; !closed; i++) {
            String machine = controlAddresses.get(i % controlAddresses.size());
            Calls.call(
                    machine,
                    "PUT",
                    "/replicas/" + id,
                    Map.of("Host", machine, "Content-Type", "application/json"),
                    heartbeat().getBytes(StandardCharsets.UTF_8),
                    1_000);
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private String heartbeat() {
        return """
                {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":8,\
                "replica_state":"ready","cold_left_ms":0,"call_seq":%d,"born":%d}"""
                .formatted(
                        service,
                        server.getInetAddress().getHostAddress(),
                        PORT,
                        zone,
                        sequence.incrementAndGet(),
                        bornMs);
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            Optional<Message> request = Message.read(socket.getInputStream(), false);
            while (request.isPresent()) {
                answer(request.get(), socket.getOutputStream());
                request = Message.read(socket.getInputStream(), false);
            }
        } catch (IOException | RuntimeException e) {
            // The peer has left, or the replica has crashed.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Message request, OutputStream out) throws IOException {
        String[] start = request.startLine().split(" ");
        Map<String, String> fields = new HashMap<>();
        fields.put("Attempt-Id", request.field("Attempt-Id"));
        fields.put("Replica-Load", "1,0,8");
        if (start[1].equals("/health")) {
            fields.put("Replica-Id", id);
            respond(out, "200 OK", fields, "ok");
            return;
        }
        if (!request.field("Expect-Replica").isEmpty()
                && !request.field("Expect-Replica").equals(id)) {
            fields.put("Not-Executed", "1");
            respond(out, "421 Misdirected Request", fields, "");
            return;
        }
        Run run =
                new Run(request.field("Attempt-Id"), start[0], start[1], request.field("Tenant"));
        synchronized (this) {
            runs.add(run);
        }
        record.line("replica %s (%s): ran %s", id, service, run);
        fields.put("Replica-Seal", "seal-" + run.requestId());
        run(request, fields, out);
    }

    /** Works on a request and sends its response. */
    protected void run(Message request, Map<String, String> fields, OutputStream out)
            throws IOException {
        respond(out, "200 OK", fields, "result of " + request.field("Attempt-Id"));
    }

    private static void respond(
            OutputStream out, String status, Map<String, String> fields, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + bytes.length + "\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    /** Ends the replica as a crash does: it resets its connections and says nothing more. */
    void crash() throws IOException {
        close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        record.line("replica %s (%s): crashed", id, service);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}

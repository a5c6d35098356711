import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Sound replica of a plain service: registers itself and answers each request at once. */
class SoundReplica implements AutoCloseable {

    private static final int HEARTBEAT_MS = 1_200;

    final Journal journal;
    private final Nodes nodes;
    private final String id;
    private final String service;
    private final String zone;
    private final InetSocketAddress address;
    private final ServerSocket server = new ServerSocket();
    private final long bornMs = System.currentTimeMillis();
    private final List<HttpMessage> runs = new CopyOnWriteArrayList<>();
    private final List<Long> runTimesNs = new CopyOnWriteArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile String state = "ready";
    private volatile int firstNode;
    private int sequence;

    /**
     * Starts a replica.
     *
     * @param id name of this start of the replica
     * @param number number of its address
     */
    SoundReplica(Nodes nodes, Journal journal, String id, String service, int number)
            throws IOException {
        this.nodes = nodes;
        this.journal = journal;
        this.id = id;
        this.service = service;
        this.zone = "z" + number % nodes.count();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(nodes.otherIp(number)), 8080));
        this.address = (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Begins to register and to answer. */
    final SoundReplica started() {
        start(this::accept);
        start(this::beat);
        return this;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    final String id() {
        return id;
    }

    /** Returns the requests that this replica ran. */
    final List<HttpMessage> runs() {
        return runs;
    }

    /** Returns the times at which requests reached this replica, by {@link System#nanoTime}. */
    final List<Long> runTimesNs() {
        return runTimesNs;
    }

    private void beat() {
        while (!closed) {
            register();
            try {
                Thread.sleep(HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends a heartbeat to the nodes in turn until one acknowledges it. */
    private synchronized void register() {
        sequence++;
        String body =
                """
                {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":12,\
                "replica_state":"%s","cold_left_ms":0,"call_seq":%d,"born":%d}"""
                        .formatted(
                                service,
                                address.getAddress().getHostAddress(),
                                address.getPort(),
                                zone,
                                state,
                                sequence,
                                bornMs);
        for (int i = 0; i < nodes.count() && !closed; i++) {
            int node = (firstNode + i) % nodes.count();
            HttpMessage response = nodes.control(node, "PUT", "/replicas/" + id, body);
            if (response != null && response.status() == 200) {
                if (!state.equals("ready")) {
                    journal.write("n%d acknowledges that %s is %s", node, id, state);
                }
                return;
            }
        }
    }

    /**
     * Says that this replica leaves, first to a given node, and goes on to serve.
     *
     * @return time of the acknowledgement, by {@link System#nanoTime}
     */
    final long drain(int node) {
        firstNode = node;
        state = "draining";
        register();
        return System.nanoTime();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                connections.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (HttpMessage request = HttpMessage.read(in);
                    request != null;
                    request = HttpMessage.read(in)) {
                receive(request, out);
                out.flush();
            }
        } catch (IOException e) {
            // The node closed the connection, or this replica crashed.
        } finally {
            connections.remove(socket);
        }
    }

    private void receive(HttpMessage request, OutputStream out) throws IOException {
        String attempt = request.header("Attempt-Id", "");
        if (!request.header("Expect-Replica", id).equals(id)) {
            write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                            .formatted(attempt));
            return;
        }
        runs.add(request);
        runTimesNs.add(System.nanoTime());
        journal.write(
                "replica %s of %s gets %s, Attempt-Id %s, Tenant %s, X-Api-Key %s, %d bytes of body",
                id,
                service,
                request.firstLine(),
                attempt,
                request.header("Tenant", "(none)"),
                request.header("X-Api-Key", "(none)"),
                request.body().length);
        answer(request, attempt, out);
    }

    /** Answers a request that was sent to this replica. */
    void answer(HttpMessage request, String attempt, OutputStream out) throws IOException {
        String body = "run by " + id;
        write(
                out,
                "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: seal-%s\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(attempt, attempt, body.length(), body));
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends as a process that crashes: its connections are reset, and it says nothing more. */
    final void crash() throws IOException {
        closed = true;
        server.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        journal.write("replica %s crashes", id);
    }

    @Override
    public final void close() throws IOException {
        closed = true;
        server.close();
    }
}

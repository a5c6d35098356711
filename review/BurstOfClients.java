package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep connections to one instance and send short requests that have long answers. With the
 * disruption, 1.7 times as many clients come for three seconds.
 */
public final class BurstOfClients {

    private static final int USUAL_CLIENTS = 80;
    private static final double BURST = 1.7;
    private static final long BURST_MS = 3_000;
    private static final long ARRIVAL_MS = 10;
    private static final int ANSWER_BYTES = 200_000;
    private static final int ROUNDS = 2;
    private static final int TIMEOUT_MS = 5_000;

    /** Lost requests that the rule allows. */
    private static final int ALLOWED = 3;

    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r-1","hostname":"h.example","path_prefix":"/a/",
            "route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":200,"priority":1,
            "service":"s1","max_attempts":3,"auth_exempt":false}],
            "services":[{"name":"s1","health_path":"/health","max_connections":250,"protocol":"h1","tls":false}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":60000},
            "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}""";

    private final Record record;
    private final Fleet fleet;
    private final Replica replica;
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    private BurstOfClients(Record record, Fleet fleet, Replica replica) {
        this.record = record;
        this.fleet = fleet;
        this.replica = replica;
    }

    /**
     * Runs the case.
     *
     * @param arguments root of the repository, folder of the case, and 0 to leave the burst out
     * @throws IOException if the case cannot run
     */
    public static void main(String[] arguments) throws IOException {
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Fleet fleet = new Fleet(Path.of(arguments[0]), 3, record)) {
            for (int i = 0; i < fleet.size; i++) {
                fleet.start(i, true);
            }
            try (Replica replica = new Replica(fleet, "i-1", "s1", ANSWER_BYTES, record)) {
                fleet.configure(CONFIG);
                fleet.awaitReady();
                Fleet.sleep(2_000);
                boolean trouble = !arguments[2].equals("0");
                status = new BurstOfClients(record, fleet, replica).run(trouble) ? 0 : 1;
            }
            fleet.logLines("OutOfMemory").stream().limit(3).forEach(line -> record.write("log %s", line));
            record.write("exit status %d", status);
        }
        System.exit(status);
    }

    /** Returns whether the rule held. */
    private boolean run(boolean trouble) throws IOException {
        List<Connection> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            clients.add(connect());
        }
        sendRound(clients, "usual traffic");
        if (trouble) {
            burst((int) Math.round(USUAL_CLIENTS * (BURST - 1)));
        }
        for (int i = 0; i < ROUNDS; i++) {
            sendRound(clients, "usual traffic");
        }
        record.write(
                "%d requests ran, and their connection ended without an answer; allowed are %d",
                lost.get(), ALLOWED);
        clients.forEach(Connection::close);
        return lost.get() <= ALLOWED;
    }

    /** More clients come, each with one short and one long answer, and leave after three seconds. */
    private void burst(int clientCount) {
        record.write("burst: %d more clients come", clientCount);
        long endMs = System.currentTimeMillis() + BURST_MS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clientCount; i++) {
            Thread thread = new Thread(() -> burstClient(endMs));
            thread.start();
            threads.add(thread);
            Fleet.sleep(ARRIVAL_MS);
        }
        for (Thread thread : threads) {
            Fleet.join(thread);
        }
        record.write("burst: the clients have left");
    }

    private void burstClient(long endMs) {
        try (Connection connection = connect()) {
            request(connection, "/a/long");
            Fleet.sleep(Math.max(0, endMs - System.currentTimeMillis()));
        } catch (IOException e) {
            record.write("client: no connection: %s", e.getMessage());
        }
    }

    /** Opens a connection and has a first request answered on it. */
    private Connection connect() throws IOException {
        Connection connection = new Connection(fleet.ip(0), Fleet.FRONT_PORT);
        request(connection, "/a/short");
        return connection;
    }

    private void sendRound(List<Connection> clients, String name) throws IOException {
        record.write("%s: %d clients send a request each", name, clients.size());
        for (int i = 0; i < clients.size(); i++) {
            if (!clients.get(i).isOpen()) {
                clients.set(i, connect());
            }
            request(clients.get(i), "/a/long");
        }
    }

    /** Sends a request, and counts it if it came to the replica and has no answer. */
    private void request(Connection client, String path) {
        String id = "%016x".formatted(number.incrementAndGet());
        List<String> fields =
                List.of("Host: h.example", "X-Api-Key: k1", "Attempt-Id: " + id, "Deadline-Ms: 4000");
        Answer answer;
        try {
            client.send("POST", path, fields, "order".getBytes(StandardCharsets.US_ASCII));
            answer = client.receive(TIMEOUT_MS);
        } catch (IOException e) {
            client.close();
            answer = Answer.none("sending failed: " + e.getMessage());
        }
        if (answer.status() != 0) {
            record.write(
                    "client: request %s: %d, body of %d bytes",
                    id, answer.status(), answer.body().length);
            return;
        }
        String state = replica.stateOf(id);
        record.write(
                "client: request %s: %s; at the replica: %s",
                id, answer.end(), state.isEmpty() ? "not seen" : state);
        if (state.equals("ran") && answer.end().startsWith("the connection ended")) {
            lost.incrementAndGet();
        }
    }
}

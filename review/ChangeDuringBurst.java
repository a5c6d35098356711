package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients keep connections to two of three instances and send short requests that have long
 * answers. With the disruption, 1.7 times as many clients come for three seconds. Meanwhile the
 * operator sends a configuration with more routes. After the burst it reads the configuration back.
 */
public final class ChangeDuringBurst {

    private static final int USUAL_CLIENTS = 80;
    private static final double BURST = 1.7;
    private static final long BURST_MS = 3_000;
    private static final long ARRIVAL_MS = 10;
    private static final int BURST_INSTANCES = 2;
    private static final int ANSWER_BYTES = 200_000;
    private static final int MORE_ROUTES = 350;
    private static final int TIMEOUT_MS = 5_000;
    private static final long OPERATOR_MS = 12_000;

    /** The recovery time of the deployment; far more than the operator's reads need. */
    private static final long AFTER_BURST_MS = 12_000;

    private final Record record;
    private final Fleet fleet;
    private final AtomicInteger number = new AtomicInteger();

    private ChangeDuringBurst(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
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
                fleet.configure(config(7, 0));
                fleet.awaitReady();
                Fleet.sleep(2_000);
                boolean trouble = !arguments[2].equals("0");
                status = new ChangeDuringBurst(record, fleet).run(trouble) ? 0 : 1;
                record.write("replica %s ends", replica.id);
            }
            fleet.logLines("OutOfMemory").stream()
                    .filter(line -> line.contains("control-voter"))
                    .forEach(line -> record.write("log %s", line));
            record.write("exit status %d", status);
        }
        System.exit(status);
    }

    private static String config(int version, int moreRoutes) {
        StringBuilder routes = new StringBuilder(route("r-1", "/a/"));
        for (int i = 0; i < moreRoutes; i++) {
            routes.append(",\n").append(route("r-more-" + i, "/more" + i + "/"));
        }
        return """
               {"version":%d,"routes":[%s],
               "services":[{"name":"s1","health_path":"/health","max_connections":250,"protocol":"h1","tls":false}],
               "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":60000},
               "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}"""
                .formatted(version, routes);
    }

    private static String route(String name, String prefix) {
        return """
               {"name":"%s","hostname":"h.example","path_prefix":"%s","route_type":"non_idempotent",
               "timeout_ms":4000,"target_latency_ms":200,"priority":1,"service":"s1","max_attempts":3,"auth_exempt":false}"""
                .formatted(name, prefix);
    }

    /** Returns whether the rule held. */
    private boolean run(boolean trouble) throws IOException {
        List<Connection> clients = new ArrayList<>();
        record.write("%d clients come to each of %d instances", USUAL_CLIENTS, BURST_INSTANCES);
        for (int i = 0; i < USUAL_CLIENTS * BURST_INSTANCES; i++) {
            Connection connection = connect(i);
            clients.add(connection);
            request(connection);
        }
        List<Thread> burst = trouble ? burst((int) Math.round(USUAL_CLIENTS * (BURST - 1))) : List.of();
        boolean acknowledged = change();
        burst.forEach(Fleet::join);
        clients.forEach(Connection::close);
        record.write("all clients have left");
        Fleet.sleep(AFTER_BURST_MS);
        return readBack(acknowledged ? 8 : 7);
    }

    private Connection connect(int client) throws IOException {
        return new Connection(fleet.ip(client % BURST_INSTANCES), Fleet.FRONT_PORT);
    }

    /** More clients come, each with one request, and leave after three seconds. */
    private List<Thread> burst(int clientCount) {
        record.write("burst: %d more clients come to each of %d instances", clientCount, BURST_INSTANCES);
        long endMs = System.currentTimeMillis() + BURST_MS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clientCount * BURST_INSTANCES; i++) {
            int client = i;
            Thread thread = new Thread(() -> burstClient(client, endMs));
            thread.start();
            threads.add(thread);
            Fleet.sleep(ARRIVAL_MS);
        }
        return threads;
    }

    private void burstClient(int client, long endMs) {
        try (Connection connection = connect(client)) {
            request(connection);
            Fleet.sleep(Math.max(0, endMs - System.currentTimeMillis()));
        } catch (IOException e) {
            record.write("client: no connection: %s", e.getMessage());
        }
        record.write("burst: a client has left");
    }

    private void request(Connection client) {
        String id = "%016x".formatted(number.incrementAndGet());
        List<String> fields =
                List.of("Host: h.example", "X-Api-Key: k1", "Attempt-Id: " + id, "Deadline-Ms: 4000");
        Answer answer;
        try {
            client.send("POST", "/a/long", fields, "order".getBytes(StandardCharsets.US_ASCII));
            answer = client.receive(TIMEOUT_MS);
        } catch (IOException e) {
            client.close();
            answer = Answer.none("sending failed: " + e.getMessage());
        }
        record.write(
                "client: request %s: %s",
                id, answer.status() == 0 ? answer.end() : "" + answer.status());
    }

    /** Sends a configuration with more routes; returns whether it was acknowledged. */
    private boolean change() {
        String config = config(8, MORE_ROUTES);
        long endMs = System.currentTimeMillis() + OPERATOR_MS;
        for (int i = 0; System.currentTimeMillis() < endMs; i++) {
            int instance = i % fleet.size;
            int status = fleet.control(instance, "PUT", "/config", config).status();
            record.write(
                    "operator: version 8, %d bytes, to instance %d: %d", config.length(), instance, status);
            if (status == 200) {
                return true;
            }
            Fleet.sleep(500);
        }
        return false;
    }

    /** Reads the configuration back for some seconds; returns whether it came and is not older. */
    private boolean readBack(int version) {
        boolean came = false;
        long endMs = System.currentTimeMillis() + OPERATOR_MS;
        for (int i = 0; !came && System.currentTimeMillis() < endMs; i++) {
            int instance = i % fleet.size;
            Answer answer = fleet.control(instance, "GET", "/config", "");
            String text = new String(answer.body(), StandardCharsets.UTF_8);
            came = answer.status() == 200;
            record.write(
                    "operator: read at instance %d: %d %s",
                    instance, answer.status(), text.substring(0, Math.min(13, text.length())));
            if (came && !text.startsWith("{\"version\":" + version) && !text.startsWith("{\"version\":8")) {
                return false;
            }
            Fleet.sleep(300);
        }
        record.write("the configuration was read back: %b", came);
        return came;
    }
}

package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * A client keeps a connection and asks for the heads of two resources in turn. With the disruption,
 * a change of the configuration removes the route of the second one.
 */
public final class HeadAtRemovedRoute {

    private static final int ROUNDS = 3;
    private static final int TIMEOUT_MS = 3_000;

    private static final String ROUTE =
            """
            {"name":"%s","hostname":"h.example","path_prefix":"%s","route_type":"idempotent",
            "timeout_ms":2000,"target_latency_ms":200,"priority":1,"service":"s1","max_attempts":3,"auth_exempt":false}""";

    private static final String CONFIG =
            """
            {"version":%d,"routes":[%s],
            "services":[{"name":"s1","health_path":"/health","max_connections":250,"protocol":"h1","tls":false}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}""";

    private final Record record;
    private final Connection client;
    private int number;

    private HeadAtRemovedRoute(Record record, Connection client) {
        this.record = record;
        this.client = client;
    }

    /**
     * Runs the case.
     *
     * @param arguments root of the repository, folder of the case, and 0 to leave the change out
     * @throws IOException if the case cannot run
     */
    public static void main(String[] arguments) throws IOException {
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Fleet fleet = new Fleet(Path.of(arguments[0]), 3, record)) {
            for (int i = 0; i < fleet.size; i++) {
                fleet.start(i, true);
            }
            try (Replica replica = new Replica(fleet, "i-1", "s1", 100, record)) {
                String first = ROUTE.formatted("r-1", "/a/");
                String second = ROUTE.formatted("r-2", "/b/");
                fleet.configure(CONFIG.formatted(7, first + "," + second));
                fleet.awaitReady();
                Fleet.sleep(2_000);
                try (Connection client = new Connection(fleet.ip(0), Fleet.FRONT_PORT)) {
                    HeadAtRemovedRoute scenario = new HeadAtRemovedRoute(record, client);
                    boolean held = scenario.sendAll("before the change");
                    if (!arguments[2].equals("0")) {
                        fleet.configure(CONFIG.formatted(8, first));
                        Fleet.sleep(2_500);
                    }
                    held &= scenario.sendAll("after it");
                    status = held ? 0 : 1;
                }
                record.write("replica %s ends", replica.id);
            }
            record.write("exit status %d", status);
        }
        System.exit(status);
    }

    /** Returns whether all that came was an answer to the request that waited. */
    private boolean sendAll(String when) throws IOException {
        record.write(when);
        boolean held = true;
        for (int i = 0; i < ROUNDS && client.isOpen(); i++) {
            held &= send("HEAD", "/b/1") && send("HEAD", "/a/1") && send("GET", "/a/1");
        }
        return held;
    }

    private boolean send(String method, String path) throws IOException {
        String id = "%016x".formatted(++number);
        client.send(
                method,
                path,
                List.of("Host: h.example", "X-Api-Key: k1", "Attempt-Id: " + id, "Deadline-Ms: 2000"),
                new byte[0]);
        Answer answer = client.receive(TIMEOUT_MS);
        String what =
                answer.status() == 0
                        ? answer.end()
                        : answer.status() + ", " + new String(answer.body(), StandardCharsets.US_ASCII);
        record.write("client: %s %s, request %s: %s", method, path, id, what);
        return !answer.end().startsWith("bytes that are no answer");
    }
}

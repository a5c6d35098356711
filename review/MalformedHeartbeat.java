package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * Clients send requests on a first route and on one that was added later, whose service has one
 * replica. With the disruption, one heartbeat of another writer comes, which has fields of the
 * replica's heartbeat but not all.
 */
public final class MalformedHeartbeat {

    private static final int REQUESTS = 40;
    private static final long INTERVAL_MS = 250;
    private static final int TIMEOUT_MS = 3_000;

    private static final String ROUTE =
            """
            {"name":"%s","hostname":"h.example","path_prefix":"%s","route_type":"idempotent",
            "timeout_ms":2000,"target_latency_ms":200,"priority":1,"service":"%s","max_attempts":3,"auth_exempt":false}""";

    private static final String SERVICE =
            "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_connections\":250,\"protocol\":\"h1\",\"tls\":false}";

    private static final String CONFIG =
            """
            {"version":%d,"routes":[%s],"services":[%s],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]}""";

    private final Record record;
    private final Fleet fleet;
    private int number;

    private MalformedHeartbeat(Record record, Fleet fleet) {
        this.record = record;
        this.fleet = fleet;
    }

    /**
     * Runs the case.
     *
     * @param arguments root of the repository, folder of the case, and 0 to leave the heartbeat out
     * @throws IOException if the case cannot run
     */
    public static void main(String[] arguments) throws IOException {
        int status = 2;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"));
                Fleet fleet = new Fleet(Path.of(arguments[0]), 3, record)) {
            for (int i = 0; i < fleet.size; i++) {
                fleet.start(i, true);
            }
            String firstRoute = ROUTE.formatted("r-1", "/a/", "s1");
            String laterRoute = ROUTE.formatted("r-2", "/b/", "s2");
            String firstService = SERVICE.formatted("s1");
            String laterService = SERVICE.formatted("s2");
            try (Replica first = new Replica(fleet, "i-1", "s1", 100, record);
                    Replica later = new Replica(fleet, "i-2", "s2", 100, record)) {
                fleet.configure(CONFIG.formatted(7, firstRoute, firstService));
                fleet.awaitReady();
                fleet.configure(
                        CONFIG.formatted(
                                8, firstRoute + "," + laterRoute, firstService + "," + laterService));
                Fleet.sleep(4_000);
                MalformedHeartbeat scenario = new MalformedHeartbeat(record, fleet);
                if (!arguments[2].equals("0")) {
                    scenario.sendHeartbeat(later);
                }
                Fleet.sleep(3_000);
                status = scenario.sendAll() ? 0 : 1;
                record.write("replicas %s and %s end", first.id, later.id);
            }
            record.write("exit status %d", status);
        }
        System.exit(status);
    }

    /** Sends a heartbeat without version and cold_left_ms; nothing listens at its address. */
    private void sendHeartbeat(Replica replica) {
        String beat =
                ("{\"service\":\"s2\",\"address\":\"%s:9\",\"zone\":\"z0\",\"slots\":32,"
                                + "\"replica_state\":\"ready\",\"call_seq\":1,\"born\":%d}")
                        .formatted(fleet.serverIp(), System.currentTimeMillis());
        int status = fleet.control(0, "PUT", "/replicas/" + replica.id, beat).status();
        record.write("another writer: PUT /replicas/%s %s: %d", replica.id, beat, status);
    }

    /** Returns whether the later route is served at least a quarter as often as the first one. */
    private boolean sendAll() {
        int first = 0;
        int later = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int instance = i % fleet.size;
            first += send(instance, "/a/1") ? 1 : 0;
            later += send(instance, "/b/1") ? 1 : 0;
            Fleet.sleep(INTERVAL_MS);
        }
        record.write(
                "served of %d requests each: %d on the first route, %d on the later one",
                REQUESTS, first, later);
        return later * 4 >= first;
    }

    private boolean send(int instance, String path) {
        String id = "%016x".formatted(++number);
        Answer answer;
        try (Connection client = new Connection(fleet.ip(instance), Fleet.FRONT_PORT)) {
            client.send(
                    "GET",
                    path,
                    List.of("Host: h.example", "X-Api-Key: k1", "Attempt-Id: " + id, "Deadline-Ms: 2000"),
                    new byte[0]);
            answer = client.receive(TIMEOUT_MS);
        } catch (IOException e) {
            answer = Answer.none("sending failed: " + e.getMessage());
        }
        String text = new String(answer.body(), StandardCharsets.US_ASCII).strip();
        record.write(
                "client: GET %s at instance %d, request %s: %s",
                path,
                instance,
                id,
                answer.status() == 0
                        ? answer.end()
                        : answer.status() + (answer.status() == 200 ? "" : ", " + text));
        return answer.status() == 200;
    }
}

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A change of the configuration adds a route. Another writer sends heartbeats with a service that
 * no configuration names and with the addresses of the replicas of the added route.
 */
final class UnnamedService extends Case {

    private static final String ADDED_SERVICE = "huvo11a";
    private static final String FIRST_SERVICE = "wuno96b";
    private static final String UNNAMED_SERVICE = "huvo11a-canary";
    private static final String ADDED_PREFIX = "/pule252/";
    private static final String FIRST_PREFIX = "/puxa403/";
    private static final String KEY = "xd9dnn2ctnfzs989anu6";
    private static final int REPLICAS = 2;

    /** Pause between two heartbeats of the other writer for one address. */
    private static final long ODD_HEARTBEAT_MS = 5_000;

    private static final long TRAFFIC_MS = 40_000;
    private static final long REQUEST_PAUSE_MS = 40;

    public static void main(String[] arguments) {
        run(new UnnamedService(), arguments);
    }

    @Override
    boolean play() throws Exception {
        List<Replica> replicas = new ArrayList<>();
        try (Deployment deployment = new Deployment(record, root, 4, 6)) {
            deployment.startAll();
            putConfiguration(deployment, 1, false);
            putConfiguration(deployment, 2, true);
            if (!deployment.awaitReady(20_000)) {
                throw new NotRunException("the machines are not ready");
            }
            for (int i = 0; i < 2 * REPLICAS; i++) {
                replicas.add(
                        new Replica(
                                record,
                                i < REPLICAS ? ADDED_SERVICE : FIRST_SERVICE,
                                "i-" + i,
                                deployment.standInAddress(i),
                                "zone-" + (i + 1),
                                deployment.controlAddresses()));
            }
            Thread.sleep(5_000);
            return sendAndCheck(deployment);
        } finally {
            for (Replica replica : replicas) {
                replica.close();
            }
        }
    }

    private void putConfiguration(Deployment deployment, int version, boolean withAdded)
            throws Exception {
        List<String> routes = new ArrayList<>();
        routes.add(Configurations.route("r-1", FIRST_PREFIX, FIRST_SERVICE));
        if (withAdded) {
            routes.add(Configurations.route("r-2", ADDED_PREFIX, ADDED_SERVICE));
        }
        String text =
                Configurations.text(
                        version,
                        routes,
                        List.of(FIRST_SERVICE, ADDED_SERVICE),
                        Configurations.tenant("huka270", KEY));
        if (new Operator(record).put(deployment.controlAddresses(), text, 20_000).orElse(0)
                != 200) {
            throw new NotRunException("version " + version + " was not acknowledged");
        }
    }

    private boolean sendAndCheck(Deployment deployment)
            throws InterruptedException, NotRunException {
        Client client = new Client(record);
        Map<String, Integer> served = new HashMap<>();
        int sentOfEach = 0;
        long startedAtNanos = System.nanoTime();
        long nextOddAtMs = 0;
        long atMs = 0;
        while (atMs < TRAFFIC_MS) {
            if (hasTrouble && atMs >= nextOddAtMs) {
                sendOddHeartbeats(deployment);
                nextOddAtMs += ODD_HEARTBEAT_MS;
            }
            sentOfEach++;
            String front =
                    deployment.machine(sentOfEach % deployment.machines().size()).front();
            for (String prefix : List.of(ADDED_PREFIX, FIRST_PREFIX)) {
                int status = client.post(front, prefix + sentOfEach, KEY).status();
                served.merge(prefix, status == 200 ? 1 : 0, Integer::sum);
            }
            Thread.sleep(REQUEST_PAUSE_MS);
            atMs = (System.nanoTime() - startedAtNanos) / 1_000_000;
        }
        double ofFirst = (double) served.get(FIRST_PREFIX) / sentOfEach;
        double ofAdded = (double) served.get(ADDED_PREFIX) / sentOfEach;
        record.line(
                "check: of %d requests on each route, the share %.3f was served on the first route"
                        + " and %.3f on the one that was added",
                sentOfEach, ofFirst, ofAdded);
        if (ofFirst < 0.5) {
            throw new NotRunException("the first route is not served either");
        }
        return ofAdded >= ofFirst / 4;
    }

    private void sendOddHeartbeats(Deployment deployment) {
        for (int i = 0; i < REPLICAS; i++) {
            String machine = deployment.machine(i).control();
            String body =
                    """
                    {"service":"%s","address":"%s:8080","zone":"zone-1","version":"v1",\
                    "slots":8,"replica_state":"ready","cold_left_ms":0,"call_seq":%d,\
                    "born":%d}"""
                            .formatted(
                                    UNNAMED_SERVICE,
                                    deployment.standInAddress(i),
                                    System.nanoTime() / 1_000_000,
                                    System.currentTimeMillis());
            Optional<Message> response =
                    Calls.call(
                            machine,
                            "PUT",
                            "/replicas/o-" + i,
                            Map.of("Host", machine, "Content-Type", "application/json"),
                            body.getBytes(StandardCharsets.UTF_8),
                            1_000);
            record.line(
                    "other writer: PUT /replicas/o-%d at %s: %s -> %s",
                    i, machine, body, response.map(Message::startLine).orElse("no response"));
        }
    }
}

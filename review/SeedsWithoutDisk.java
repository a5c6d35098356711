import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The seeds are exchanged for three other machines that serve control, which have no disk. Later
 * the processes of these three are killed at the same moment and come back. After that a replica
 * says to one of them that it leaves.
 */
final class SeedsWithoutDisk extends Case {

    private static final int DISKS = 4;
    private static final int NODES = 7;
    private static final int RESTART_MS = 2_000;
    private static final int CATCH_UP_MS = 4_000;
    private static final int STABLE_WINDOW_MS = 3_000;
    private static final int DRAIN_MS = 2_000;
    private static final int REQUEST_MS = 100;
    private static final int OBSERVED_MS = 8_000;

    private static final String CONFIG =
            """
            {"version":1,"routes":[{"name":"r1","hostname":"shop.example",\
            "path_prefix":"/stock/","route_type":"idempotent","timeout_ms":1000,\
            "target_latency_ms":150,"priority":2,"service":"refill","max_attempts":2,\
            "auth_exempt":false}],\
            "services":[{"name":"refill","health_path":"/health","max_connections":120,\
            "protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
            "idle_timeout_ms":15000},\
            "tenants":[{"name":"shop-a","api_keys":["key-of-shop-a"],"priority":1}]}""";

    public static void main(String[] arguments) throws Exception {
        run(new SeedsWithoutDisk(), arguments);
    }

    @Override
    int nodeCount() {
        return NODES;
    }

    @Override
    int diskCount() {
        return DISKS;
    }

    @Override
    boolean isBroken() throws Exception {
        nodes.configure("1", CONFIG);
        nodes.awaitReady();
        SoundReplica stays =
                new SoundReplica(nodes, journal, "i-stays", "refill", 1).started();
        SoundReplica leaves =
                new SoundReplica(nodes, journal, "i-leaves", "refill", 2).started();
        awaitServed(stays, leaves);
        if (trouble) {
            nodes.exchangeSeeds(DISKS);
            Thread.sleep(3_000);
            for (int i = DISKS; i < NODES; i++) {
                nodes.kill(i);
            }
            Thread.sleep(RESTART_MS);
            for (int i = DISKS; i < NODES; i++) {
                nodes.start(i, false);
            }
        }
        Thread.sleep(RESTART_MS + CATCH_UP_MS + STABLE_WINDOW_MS);
        for (int i = 0; i < NODES; i++) {
            journal.write("n%d is ready: %b", i, nodes.isReady(i));
        }
        long acknowledgedNs = leaves.drain(NODES - 1);
        long endNs = acknowledgedNs + TimeUnit.MILLISECONDS.toNanos(OBSERVED_MS);
        for (int i = 0; System.nanoTime() < endNs; i++) {
            send(i % DISKS, "late-" + i);
            Thread.sleep(REQUEST_MS);
        }
        long boundNs = acknowledgedNs + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
        long late = leaves.runTimesNs().stream().filter(timeNs -> timeNs > boundNs).count();
        journal.write(
                "%d requests reached i-leaves later than %d ms after the acknowledgement",
                late, DRAIN_MS);
        return late > 0;
    }

    private void awaitServed(SoundReplica... replicas) throws Failure, InterruptedException {
        for (int i = 0; i < 200; i++) {
            boolean all = true;
            for (int node = 0; node < NODES; node++) {
                all &= send(node, "warm-" + i + "-" + node);
            }
            for (SoundReplica replica : replicas) {
                all &= !replica.runs().isEmpty();
            }
            if (all) {
                return;
            }
            Thread.sleep(100);
        }
        throw new Failure("the service is not served");
    }

    private boolean send(int node, String id) {
        String fields =
                "Attempt-Id: %s\r\nDeadline-Ms: 1000\r\nX-Api-Key: key-of-shop-a\r\n".formatted(id);
        String result;
        boolean served = false;
        try (Caller caller = new Caller(nodes.ip(node), Nodes.FRONT_PORT, 2_000)) {
            HttpMessage response =
                    caller.call("GET", "/stock/1", "shop.example", fields, new byte[0]);
            served = response.status() == 200;
            result = response.status() + " " + response.text().trim();
        } catch (IOException e) {
            result = e.toString();
        }
        journal.write("client sends %s to n%d: %s", id, node, result);
        return served;
    }
}

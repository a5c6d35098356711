import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The operator adds two tenants whose names have letters outside of ASCII. */
final class TenantNames extends Case {

    private static final int CONFIG_MS = 2_000;
    private static final int REQUESTS = 10;

    private static final String CONFIG =
            """
            {"version":%d,"routes":[{"name":"r1","hostname":"rounds.example","path_prefix":"/pledges/",\
            "route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,\
            "service":"ledger","max_attempts":1,"auth_exempt":false}],\
            "services":[{"name":"ledger","health_path":"/health","max_connections":120,\
            "protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
            "idle_timeout_ms":15000},"tenants":[\
            {"name":"osu","api_keys":["key-of-osu"],"priority":1},\
            {"name":"%s","api_keys":["key-of-first"],"priority":1},\
            {"name":"%s","api_keys":["key-of-second"],"priority":1}]}""";

    public static void main(String[] arguments) throws Exception {
        run(new TenantNames(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        // The names differ only in the letters "open e" and "open o" of the languages of Ghana.
        String first = trouble ? "k\u025bse" : "kese";
        String second = trouble ? "k\u0254se" : "kose";
        nodes.configure("1", CONFIG.formatted(1, "tema", "kasoa"));
        nodes.awaitReady();
        try (SoundReplica replica =
                new SoundReplica(nodes, journal, "i-1", "ledger", 1).started()) {
            awaitServed();
            nodes.configure("2 with new tenants", CONFIG.formatted(2, first, second));
            Thread.sleep(CONFIG_MS + 1_000);
            for (int i = 0; i < REQUESTS; i++) {
                send(i % nodes.count(), "first-" + i, "key-of-first");
                send(i % nodes.count(), "second-" + i, "key-of-second");
            }
            Map<String, Set<String>> received = new HashMap<>();
            for (HttpMessage run : replica.runs()) {
                String sender = run.header("Attempt-Id", "").split("-")[0];
                received.computeIfAbsent(sender, key -> new HashSet<>())
                        .add(run.header("Tenant", "(none)"));
            }
            Set<String> both = new HashSet<>(received.getOrDefault("first", Set.of()));
            both.retainAll(received.getOrDefault("second", Set.of()));
            journal.write("values of Tenant by sender: %s; the same for both: %s", received, both);
            return !both.isEmpty();
        }
    }

    private void awaitServed() throws Failure, InterruptedException {
        for (int i = 0; i < 100; i++) {
            boolean all = true;
            for (int node = 0; node < nodes.count(); node++) {
                all &= send(node, "warm-" + i + "-" + node, "key-of-osu") == 200;
            }
            if (all) {
                return;
            }
            Thread.sleep(100);
        }
        throw new Failure("the service is not served");
    }

    private int send(int node, String id, String key) {
        try (Caller caller = new Caller(nodes.ip(node), Nodes.FRONT_PORT, 3_000)) {
            String fields =
                    "Attempt-Id: %s\r\nDeadline-Ms: 1000\r\nX-Api-Key: %s\r\n".formatted(id, key);
            int status =
                    caller.call("POST", "/pledges/1", "rounds.example", fields, new byte[] {'1'})
                            .status();
            journal.write("client sends %s with key %s to n%d: %d", id, key, node, status);
            return status;
        } catch (IOException e) {
            journal.write("client sends %s with key %s to n%d: %s", id, key, node, e);
            return 0;
        }
    }
}

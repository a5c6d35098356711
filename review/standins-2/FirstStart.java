import java.util.concurrent.TimeUnit;

/**
 * One machine with a disk loses power and its disk while the system starts for the first time. It
 * comes back empty; then the operator sends the first configuration.
 */
final class FirstStart extends Case {

    private static final int STABLE_WINDOW_MS = 3_000;
    private static final int CATCH_UP_MS = 4_000;
    private static final int ACK_MS = 4_000;

    /** Seed with the lowest address. */
    private static final int LOWEST_SEED = 0;

    /** Time for which the operator tries, many times the bound. */
    private static final int TRIED_MS = 60_000;

    private static final String CONFIG =
            """
            {"version":7,"routes":[{"name":"r1","hostname":"shop.example","path_prefix":"/orders/",\
            "route_type":"non_idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,\
            "service":"ledger","max_attempts":1,"auth_exempt":false}],\
            "services":[{"name":"ledger","health_path":"/health","max_connections":120,\
            "protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
            "idle_timeout_ms":15000},\
            "tenants":[{"name":"shop-a","api_keys":["key-of-shop-a"],"priority":1}]}""";

    public static void main(String[] arguments) throws Exception {
        run(new FirstStart(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        if (trouble) {
            int victim = LOWEST_SEED;
            Thread.sleep(200);
            journal.write("machine n%d loses power and its disk", victim);
            nodes.loseDisk(victim);
            Thread.sleep(1_000);
            nodes.start(victim, false);
        }
        Thread.sleep(STABLE_WINDOW_MS + CATCH_UP_MS);
        journal.write(
                "all machines run, %d ms after the last disruption",
                STABLE_WINDOW_MS + CATCH_UP_MS);
        long startNs = System.nanoTime();
        long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(TRIED_MS);
        for (int i = 0; System.nanoTime() < endNs; i++) {
            int node = i % nodes.count();
            HttpMessage response = nodes.control(node, "PUT", "/config", CONFIG);
            int status = response == null ? 0 : response.status();
            journal.write("operator sends configuration 7 to n%d: %d", node, status);
            if (status == 200) {
                long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
                journal.write("acknowledged after %d ms, the bound is %d ms", ms, ACK_MS);
                return ms > ACK_MS;
            }
            Thread.sleep(Math.min(1_000, 100L * (i + 1)));
        }
        for (int i = 0; i < nodes.count(); i++) {
            journal.write(
                    "n%d runs: %b, ready: %b",
                    i, nodes.process(i).isAlive(), nodes.isReady(i));
        }
        journal.write("not acknowledged within %d ms, the bound is %d ms", TRIED_MS, ACK_MS);
        return true;
    }
}

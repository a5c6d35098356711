import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The configuration grows by many routes in several steps; then changes of it come in quick
 * succession, eight at once at most.
 */
final class BigConfigurations extends Case {

    private static final int STEPS = 40;
    private static final int ROUTES_A_STEP = 370;
    private static final int MAX_CONFIG_BYTES = 4_194_304;

    private static final int ORDERS_AT_ONCE = 8;
    private static final int STORMS = 2;
    private static final int ORDERS_A_STORM = 25;
    private static final int GAP_MS = 60;
    private static final int STORM_MS = 20_000;

    private static final int RESTART_DELAY_MS = 1_000;

    /** Ends of the processes of one machine in a day that the rule allows no longer. */
    private static final int ENDS = 3;

    private static final int MACHINES = 2;

    private final AtomicBoolean finished = new AtomicBoolean();

    public static void main(String[] arguments) throws Exception {
        run(new BigConfigurations(), arguments);
    }

    private static String config(int version, int routes) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append(
                            """
                            {"name":"r-%05d","hostname":"shop.example","path_prefix":"/p%05d/",\
                            "route_type":"non_idempotent","timeout_ms":1000,\
                            "target_latency_ms":150,"priority":2,"service":"ledger",\
                            "max_attempts":1,"auth_exempt":false,"session_affinity":false,\
                            "stream_resume":false}"""
                                    .formatted(i, i));
        }
        return text.append(
                        """
                        ],"services":[{"name":"ledger","health_path":"/health",\
                        "max_connections":120,"protocol":"h1","tls":false}],\
                        "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,\
                        "header_timeout_ms":3000,"idle_timeout_ms":15000},\
                        "tenants":[{"name":"shop-a","api_keys":["key-of-shop-a"],"priority":1}]}""")
                .toString();
    }

    @Override
    boolean isBroken() throws Exception {
        nodes.configure("1", config(1, 10));
        nodes.awaitReady();
        int routes = 10;
        int version = 1;
        for (int step = 0; step < STEPS; step++) {
            routes += trouble ? ROUTES_A_STEP : 0;
            version++;
            nodes.configure(Integer.toString(version), config(version, routes));
        }
        int bytes = config(version, routes).length();
        journal.write("the configuration has %d routes, %d bytes", routes, bytes);
        if (bytes > MAX_CONFIG_BYTES) {
            throw new Failure("the configuration is too large");
        }
        int[] ends = new int[nodes.count()];
        Thread platform = new Thread(() -> restartEnded(ends));
        platform.start();
        for (int storm = 0; storm < STORMS; storm++) {
            storm(version, routes);
            version += ORDERS_A_STORM;
        }
        finished.set(true);
        platform.join();
        int machines = 0;
        for (int i = 0; i < ends.length; i++) {
            journal.write("n%d: its process ended by itself %d times", i, ends[i]);
            machines += ends[i] >= ENDS ? 1 : 0;
        }
        return machines >= MACHINES;
    }

    /** Restarts processes that have ended, as the platform does. */
    private void restartEnded(int[] ends) {
        while (!finished.get()) {
            try {
                for (int i = 0; i < nodes.count(); i++) {
                    if (!nodes.process(i).isAlive()) {
                        ends[i]++;
                        journal.write(
                                "the process of n%d has ended by itself, status %d",
                                i, nodes.process(i).exitValue());
                        Thread.sleep(RESTART_DELAY_MS);
                        nodes.start(i, false);
                    }
                }
                Thread.sleep(50);
            } catch (IOException | InterruptedException e) {
                journal.write("restarting a process failed: %s", e);
                return;
            }
        }
    }

    private void storm(int lastVersion, int routes) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STORM_MS);
        ExecutorService operator = Executors.newFixedThreadPool(ORDERS_AT_ONCE);
        List<Future<Boolean>> orders = new ArrayList<>();
        for (int i = 1; i <= ORDERS_A_STORM; i++) {
            int version = lastVersion + i;
            Callable<Boolean> order = () -> order(version, routes, endNs);
            orders.add(operator.submit(order));
            Thread.sleep(GAP_MS);
        }
        int acknowledged = 0;
        for (Future<Boolean> order : orders) {
            acknowledged += order.get() ? 1 : 0;
        }
        operator.shutdown();
        journal.write("%d of %d orders were acknowledged", acknowledged, ORDERS_A_STORM);
    }

    /** Sends one order to nodes that it picks at random, until it is acknowledged. */
    private boolean order(int version, int routes, long endNs) throws InterruptedException {
        String config = config(version, routes);
        for (int attempt = 1; System.nanoTime() < endNs; attempt++) {
            int node = ThreadLocalRandom.current().nextInt(nodes.count());
            HttpMessage response = nodes.control(node, "PUT", "/config", config);
            int status = response == null ? 0 : response.status();
            journal.write("operator sends configuration %d to n%d: %d", version, node, status);
            if (status == 200) {
                return true;
            }
            Thread.sleep(100L * attempt);
        }
        return false;
    }
}

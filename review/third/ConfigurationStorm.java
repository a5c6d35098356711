import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** The configuration grows by many routes; then configurations come in quick succession. */
final class ConfigurationStorm extends Case {

    private static final String SERVICE = "huvo11a";
    private static final String TENANTS =
            Configurations.tenant("huka270", "xd9dnn2ctnfzs989anu6");
    private static final int DISKS = 4;
    private static final int MACHINES = 10;

    /** Routes of one change, and number of these changes. */
    private static final int ROUTES_PER_CHANGE = 370;

    private static final int GROWING_CHANGES = 32;

    /** Orders of the operator that may be in progress at once. */
    private static final int MAX_ORDERS = 8;

    private static final long STORM_MS = 1_500;
    private static final long STORM_GAP_MS = 60;
    private static final long BETWEEN_STORMS_MS = 2_500;
    private static final long ORDER_MS = 10_000;

    /** Time from the start of the case to the end of the last storm. */
    private static final long LENGTH_MS = 60_000;

    private static final long RESTART_DELAY_MS = 500;

    /** Ends of processes on one machine that count, and the machines of the core for a fault. */
    private static final int ENDS = 3;

    private static final int HALF_OF_CORE = 2;

    private final Random random = new Random(1);
    private final AtomicInteger version = new AtomicInteger(1);
    private final AtomicInteger acknowledged = new AtomicInteger();
    private final Map<String, Integer> ends = Collections.synchronizedMap(new TreeMap<>());
    private volatile boolean ended;

    public static void main(String[] arguments) {
        run(new ConfigurationStorm(), arguments);
    }

    @Override
    boolean play() throws Exception {
        long startedAtNanos = System.nanoTime();
        try (Deployment deployment = new Deployment(record, root, DISKS, MACHINES)) {
            deployment.startAll();
            List<String> routes = new ArrayList<>();
            routes.add(Configurations.route("r-0", "/pule252/", SERVICE));
            send(deployment, routes, 20_000);
            if (!deployment.awaitReady(20_000)) {
                throw new NotRunException("the machines are not ready");
            }
            Thread watch = new Thread(() -> restartEnded(deployment), "platform");
            watch.setDaemon(true);
            watch.start();
            grow(deployment, routes);
            while ((System.nanoTime() - startedAtNanos) / 1_000_000 < LENGTH_MS) {
                playStorm(deployment, routes);
                Thread.sleep(BETWEEN_STORMS_MS);
            }
            ended = true;
            watch.join();
        }
        return check();
    }

    private void grow(Deployment deployment, List<String> routes) throws Exception {
        for (int change = 0; change < GROWING_CHANGES; change++) {
            for (int i = 0; i < ROUTES_PER_CHANGE; i++) {
                int number = routes.size();
                routes.add(Configurations.route("r-" + number, "/lohu" + number + "/", SERVICE));
            }
            send(deployment, routes, ORDER_MS);
        }
        record.line("operator: the configuration has %d routes", routes.size());
    }

    /** Sends changes in quick succession; without the disruption, a single one. */
    private void playStorm(Deployment deployment, List<String> routes) throws Exception {
        if (!hasTrouble) {
            send(deployment, routes, ORDER_MS);
            return;
        }
        Semaphore orders = new Semaphore(MAX_ORDERS);
        ExecutorService executor = Executors.newFixedThreadPool(MAX_ORDERS);
        int first = version.get();
        long endNanos = System.nanoTime() + STORM_MS * 1_000_000;
        while (System.nanoTime() < endNanos) {
            orders.acquire();
            executor.execute(
                    () -> {
                        try {
                            send(deployment, routes, ORDER_MS);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        } finally {
                            orders.release();
                        }
                    });
            Thread.sleep(STORM_GAP_MS);
        }
        orders.acquire(MAX_ORDERS);
        executor.shutdown();
        record.line(
                "operator: a storm of %d changes has ended; ends of processes so far: %s",
                version.get() - first, ends);
    }

    private void send(Deployment deployment, List<String> routes, long forMs)
            throws InterruptedException {
        int number = version.getAndIncrement();
        List<String> machines = new ArrayList<>(deployment.controlAddresses());
        synchronized (random) {
            Collections.shuffle(machines, random);
        }
        String text = Configurations.text(number, routes, List.of(SERVICE), TENANTS);
        int status = new Operator(record).put(machines, text, forMs).orElse(0);
        acknowledged.addAndGet(status == 200 ? 1 : 0);
        record.line(
                "operator: version %d of %d bytes -> %s",
                number, text.length(), status == 0 ? "no acknowledgement" : status);
    }

    /** Starts processes that have ended again, as the platform does. */
    private void restartEnded(Deployment deployment) {
        while (!ended) {
            try {
                for (Deployment.Machine machine : deployment.machines()) {
                    if (!ended && !machine.isRunning()) {
                        ends.merge(machine.name(), 1, Integer::sum);
                        List<String> reasons = machine.logLines("Terminating due to");
                        record.line(
                                "platform: the process on %s has ended by itself: %s",
                                machine.name(),
                                reasons.isEmpty() ? "" : reasons.get(reasons.size() - 1));
                        Thread.sleep(RESTART_DELAY_MS);
                        machine.start(false);
                    }
                }
                Thread.sleep(100);
            } catch (IOException | InterruptedException e) {
                record.line("platform: a machine was not started again: %s", e);
                return;
            }
        }
    }

    private boolean check() {
        long machinesWithEnds =
                ends.entrySet().stream()
                        .filter(entry -> isOfCore(entry.getKey()))
                        .filter(entry -> entry.getValue() >= ENDS)
                        .count();
        record.line(
                "check: %d versions, %d acknowledged; ends of processes by themselves: %s;"
                        + " machines of the core with %d or more: %d of %d",
                version.get() - 1, acknowledged.get(), ends, ENDS, machinesWithEnds, DISKS);
        return machinesWithEnds < HALF_OF_CORE;
    }

    private static boolean isOfCore(String machine) {
        return Integer.parseInt(machine.substring(machine.indexOf('-') + 1)) <= DISKS;
    }
}

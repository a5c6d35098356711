import java.util.List;

/**
 * A machine of the core is lost while the whole system starts for the first time. In the first
 * play its process is killed and started again; in the second one an empty machine at another
 * address replaces it.
 */
final class KilledAtFirstStart extends Case {

    private static final String SERVICE = "huvo11a";
    private static final String TENANTS =
            Configurations.tenant("huka270", "xd9dnn2ctnfzs989anu6");

    /** Machines with a disk, one of them a spare one. */
    private static final int DISKS = 5;

    private static final int MACHINES = 7;
    private static final int SPARE = 4;

    /** Time from the start of the machines to the kill. */
    private static final long KILLED_AFTER_MS = 400;

    /** Time from the kill to the start of the machine, or of the one that replaces it. */
    private static final long DOWN_MS = 1_000;

    /** Bound {@code stable_window_ms}: the core is stable again after this time. */
    private static final long STABLE_WINDOW_MS = 3_000;

    /** Bound {@code ack_ms}, with 3 ms for the route. */
    private static final long ACKNOWLEDGED_WITHIN_MS = 4_003;

    /** Time for which the order is sent again, to tell a late acknowledgement from none. */
    private static final long ORDER_MS = 25_000;

    public static void main(String[] arguments) {
        run(new KilledAtFirstStart(), arguments);
    }

    @Override
    boolean play() throws Exception {
        boolean heldWithRestart = playOnce(false);
        boolean heldWithReplacement = playOnce(true);
        return heldWithRestart && heldWithReplacement;
    }

    private boolean playOnce(boolean replaced) throws Exception {
        record.line("case: the machine is %s", replaced ? "replaced" : "started again");
        try (Deployment deployment = new Deployment(record, root, DISKS, MACHINES)) {
            deployment.startAllBut(SPARE);
            Thread.sleep(KILLED_AFTER_MS);
            if (hasTrouble) {
                Deployment.Machine killed = deployment.machine(0);
                killed.kill();
                record.line("platform: killed %s with SIGKILL", killed.name());
                Thread.sleep(DOWN_MS);
                deployment.machine(replaced ? SPARE : 0).start(false);
            }
            Thread.sleep(STABLE_WINDOW_MS);
            List<Deployment.Machine> running =
                    deployment.machines().stream().filter(Deployment.Machine::isRunning).toList();
            if (running.size() < MACHINES - 1) {
                throw new NotRunException("a process does not run");
            }
            return isAcknowledgedInTime(running);
        }
    }

    private boolean isAcknowledgedInTime(List<Deployment.Machine> running)
            throws InterruptedException {
        String text =
                Configurations.text(
                        1,
                        List.of(Configurations.route("r-1", "/pule252/", SERVICE)),
                        List.of(SERVICE),
                        TENANTS);
        List<String> addresses = running.stream().map(Deployment.Machine::control).toList();
        long sentAtNanos = System.nanoTime();
        int status = new Operator(record).put(addresses, text, ORDER_MS).orElse(0);
        long tookMs = (System.nanoTime() - sentAtNanos) / 1_000_000;
        Thread.sleep(1_000);
        record.line(
                "check: the first configuration, sent while the core is stable, %s after %d ms;"
                        + " machines that are ready: %d of %d",
                status == 200 ? "was acknowledged" : "has no acknowledgement",
                tookMs,
                running.stream().filter(Deployment.Machine::isReady).count(),
                running.size());
        return status == 200 && tookMs <= ACKNOWLEDGED_WITHIN_MS;
    }
}

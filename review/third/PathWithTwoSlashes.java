import java.util.List;

/** The operator adds a route for all paths; clients send paths that begin with two slashes. */
final class PathWithTwoSlashes extends Case {

    private static final String FIRST_SERVICE = "huvo11a";
    private static final String ADDED_SERVICE = "wuno96b";
    private static final String KEY = "xd9dnn2ctnfzs989anu6";
    private static final List<String> TARGETS =
            List.of("//pledges/17", "//pledges/17/cancel?dry=1", "//rounds/2/stops");

    /** Bound `config_ms` of the deployment and as much again. */
    private static final long AFTER_ACKNOWLEDGEMENT_MS = 4_000;

    public static void main(String[] arguments) {
        run(new PathWithTwoSlashes(), arguments);
    }

    @Override
    boolean play() throws Exception {
        try (Deployment deployment = new Deployment(record, root, 4, 6)) {
            deployment.startAll();
            Operator operator = new Operator(record);
            requireAcknowledged(operator, deployment, 1, routes(false));
            if (!deployment.awaitReady(20_000)) {
                throw new NotRunException("the machines are not ready");
            }
            try (Replica first = replica(deployment, FIRST_SERVICE, 1);
                    Replica added = replica(deployment, ADDED_SERVICE, 2)) {
                Thread.sleep(5_000);
                Client client = new Client(record);
                if (client.post(deployment.machine(0).front(), "/pule252/1", KEY).status()
                        != 200) {
                    throw new NotRunException("the first route is not served");
                }
                requireAcknowledged(operator, deployment, 2, routes(hasTrouble));
                Thread.sleep(AFTER_ACKNOWLEDGEMENT_MS);
                return sendAndCheck(client, deployment, List.of(first, added));
            }
        }
    }

    private static List<String> routes(boolean withAllPaths) {
        String first = Configurations.route("r-1", "/pule252/", FIRST_SERVICE);
        return withAllPaths
                ? List.of(first, Configurations.route("r-2", "/", ADDED_SERVICE))
                : List.of(first);
    }

    private Replica replica(Deployment deployment, String service, int number) throws Exception {
        return new Replica(
                record,
                service,
                "i-" + number,
                deployment.standInAddress(number),
                "zone-" + number,
                deployment.controlAddresses());
    }

    private void requireAcknowledged(
            Operator operator, Deployment deployment, int version, List<String> routes)
            throws Exception {
        String text =
                Configurations.text(
                        version,
                        routes,
                        List.of(FIRST_SERVICE, ADDED_SERVICE),
                        Configurations.tenant("huka270", KEY));
        record.line("operator: version %d has %d routes", version, routes.size());
        if (operator.put(deployment.controlAddresses(), text, 20_000).orElse(0) != 200) {
            throw new NotRunException("version " + version + " was not acknowledged");
        }
    }

    private boolean sendAndCheck(Client client, Deployment deployment, List<Replica> replicas) {
        int changed = 0;
        for (Deployment.Machine machine : deployment.machines()) {
            for (String target : TARGETS) {
                Client.Sent sent = client.post(machine.front(), target, KEY);
                changed += (int) replicas.stream().filter(r -> ranWithOtherTarget(r, sent)).count();
            }
        }
        record.line("check: %d requests ran with a path other than the client's", changed);
        return changed == 0;
    }

    private static boolean ranWithOtherTarget(Replica replica, Client.Sent sent) {
        return replica.runs().stream()
                .filter(run -> run.requestId().equals(sent.requestId()))
                .anyMatch(run -> !run.target().equals(sent.target()));
    }
}

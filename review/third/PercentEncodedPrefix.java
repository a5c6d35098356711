import java.util.List;

/**
 * The operator adds a route whose path prefix has a letter beyond ASCII; requests on another route,
 * whose prefix is percent-encoded, follow.
 */
final class PercentEncodedPrefix extends Case {

    private static final String GENERAL_SERVICE = "huvo11a";
    private static final String ENCODED_SERVICE = "wuno96b";
    private static final String KEY = "xd9dnn2ctnfzs989anu6";
    private static final String ENCODED_PREFIX = "/caf%C3%A9/";
    private static final int REQUESTS = 3;

    /** Bound `config_ms` of the deployment and as much again. */
    private static final long AFTER_ACKNOWLEDGEMENT_MS = 4_000;

    public static void main(String[] arguments) {
        run(new PercentEncodedPrefix(), arguments);
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
            try (Replica general = replica(deployment, GENERAL_SERVICE, 1);
                    Replica encoded = replica(deployment, ENCODED_SERVICE, 2)) {
                Thread.sleep(5_000);
                Client client = new Client(record);
                Client.Sent before =
                        client.post(deployment.machine(0).front(), ENCODED_PREFIX + "1", KEY);
                if (before.status() != 200 || !ran(encoded, before)) {
                    throw new NotRunException("the route with the encoded prefix is not served");
                }
                requireAcknowledged(operator, deployment, 2, routes(hasTrouble));
                Thread.sleep(AFTER_ACKNOWLEDGEMENT_MS);
                return sendAndCheck(client, deployment, general, encoded);
            }
        }
    }

    private static List<String> routes(boolean withAdded) {
        String general = Configurations.route("r-1", "/", GENERAL_SERVICE);
        String encoded = Configurations.route("r-2", ENCODED_PREFIX, ENCODED_SERVICE);
        return withAdded
                ? List.of(
                        general, encoded, Configurations.route("r-3", "/käse/", GENERAL_SERVICE))
                : List.of(general, encoded);
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
                        List.of(GENERAL_SERVICE, ENCODED_SERVICE),
                        Configurations.tenant("huka270", KEY));
        record.line("operator: version %d has the routes %s", version, routes);
        if (operator.put(deployment.controlAddresses(), text, 20_000).orElse(0) != 200) {
            throw new NotRunException("version " + version + " was not acknowledged");
        }
    }

    private boolean sendAndCheck(
            Client client, Deployment deployment, Replica general, Replica encoded) {
        int wrong = 0;
        int right = 0;
        for (Deployment.Machine machine : deployment.machines()) {
            for (int i = 0; i < REQUESTS; i++) {
                Client.Sent sent = client.post(machine.front(), ENCODED_PREFIX + "2", KEY);
                wrong += ran(general, sent) ? 1 : 0;
                right += ran(encoded, sent) ? 1 : 0;
            }
        }
        record.line(
                "check: %d requests ran at %s, to which no configuration sends them, %d at %s",
                wrong, GENERAL_SERVICE, right, ENCODED_SERVICE);
        return wrong == 0;
    }

    private static boolean ran(Replica replica, Client.Sent sent) {
        return replica.runs().stream().anyMatch(run -> run.requestId().equals(sent.requestId()));
    }
}

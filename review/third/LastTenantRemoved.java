import java.util.List;

/** The operator removes the last tenant; requests with its key, or with an unknown one, follow. */
final class LastTenantRemoved extends Case {

    private static final String SERVICE = "huvo11a";
    private static final String HELD_KEY = "xd9dnn2ctnfzs989anu6";
    private static final String NEVER_HELD_KEY = "q7k2m5w8z1t4v6b3n9c0";
    private static final List<String> ROUTES =
            List.of(Configurations.route("r-1", "/pule252/", SERVICE));
    private static final int REQUESTS = 3;

    /** Bound `config_ms` of the deployment and as much again. */
    private static final long AFTER_ACKNOWLEDGEMENT_MS = 4_000;

    public static void main(String[] arguments) {
        run(new LastTenantRemoved(), arguments);
    }

    @Override
    boolean play() throws Exception {
        try (Deployment deployment = new Deployment(record, root, 4, 6)) {
            deployment.startAll();
            Operator operator = new Operator(record);
            String tenants = Configurations.tenant("huka270", HELD_KEY);
            requireAcknowledged(operator, deployment, 1, tenants);
            if (!deployment.awaitReady(20_000)) {
                throw new NotRunException("the machines are not ready");
            }
            try (Replica replica =
                    new Replica(
                            record,
                            SERVICE,
                            "i-1",
                            deployment.standInAddress(1),
                            "zone-1",
                            deployment.controlAddresses())) {
                Thread.sleep(5_000);
                Client client = new Client(record);
                if (client.post(deployment.machine(0).front(), "/pule252/1", HELD_KEY).status()
                                != 200
                        || client.post(
                                                deployment.machine(0).front(),
                                                "/pule252/2",
                                                NEVER_HELD_KEY)
                                        .status()
                                != 401) {
                    throw new NotRunException("the first configuration is not in force");
                }
                requireAcknowledged(operator, deployment, 2, hasTrouble ? "[]" : tenants);
                Thread.sleep(AFTER_ACKNOWLEDGEMENT_MS);
                return sendAndCheck(client, deployment, replica);
            }
        }
    }

    private void requireAcknowledged(
            Operator operator, Deployment deployment, int version, String tenants)
            throws Exception {
        String text = Configurations.text(version, ROUTES, List.of(SERVICE), tenants);
        record.line("operator: version %d has the tenants %s", version, tenants);
        if (operator.put(deployment.controlAddresses(), text, 20_000).orElse(0) != 200) {
            throw new NotRunException("version " + version + " was not acknowledged");
        }
    }

    private boolean sendAndCheck(Client client, Deployment deployment, Replica replica) {
        int ranWithNeverHeldKey = 0;
        int ranWithDroppedKey = 0;
        for (Deployment.Machine machine : deployment.machines()) {
            for (int i = 0; i < REQUESTS; i++) {
                Client.Sent unknown = client.post(machine.front(), "/pule252/3", NEVER_HELD_KEY);
                Client.Sent dropped = client.post(machine.front(), "/pule252/4", HELD_KEY);
                ranWithNeverHeldKey += ran(replica, unknown) ? 1 : 0;
                ranWithDroppedKey += hasTrouble && ran(replica, dropped) ? 1 : 0;
            }
        }
        record.line(
                "check: %d requests ran whose key no configuration ever held, %d with a dropped key",
                ranWithNeverHeldKey, ranWithDroppedKey);
        return ranWithNeverHeldKey == 0 && ranWithDroppedKey == 0;
    }

    private static boolean ran(Replica replica, Client.Sent sent) {
        return replica.runs().stream().anyMatch(run -> run.requestId().equals(sent.requestId()));
    }
}

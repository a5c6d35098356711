import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** The operator raises the limits of requests; clients use them on kept and on new connections. */
final class RaisedLimits extends Case {

    private static final int CONFIG_MS = 2_000;
    private static final int CONNECTIONS = 6;
    private static final int REQUESTS_EACH = 5;

    private static final String CONFIG =
            """
            {"version":%d,"routes":[{"name":"r1","hostname":"shop.example","path_prefix":"/orders/",\
            "route_type":"non_idempotent","timeout_ms":5000,"target_latency_ms":150,"priority":2,\
            "service":"ledger","max_attempts":1,"auth_exempt":false}],\
            "services":[{"name":"ledger","health_path":"/health","max_connections":120,\
            "protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,\
            "idle_timeout_ms":15000},\
            "tenants":[{"name":"shop-a","api_keys":["key-of-shop-a"],"priority":1}]}""";

    private static final int BODY_BYTES = 65_536;
    private static final int HEADER_BYTES = 16_384;

    public static void main(String[] arguments) throws Exception {
        run(new RaisedLimits(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        nodes.configure("1", CONFIG.formatted(1, HEADER_BYTES, BODY_BYTES));
        nodes.awaitReady();
        new Replica(nodes, journal, "i-1", "ledger", 1).started();
        List<Caller> kept = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            kept.add(open(i));
        }
        awaitServed(kept);
        int factor = trouble ? 4 : 1;
        if (trouble) {
            nodes.configure(
                    "2 with raised limits",
                    CONFIG.formatted(2, factor * HEADER_BYTES, factor * BODY_BYTES));
        }
        Thread.sleep(CONFIG_MS + 1_000);
        String longLine = "X-Note: " + "n".repeat(factor * HEADER_BYTES - 2_000) + "\r\n";
        int longBody = factor * BODY_BYTES - 1_000;
        int denied = 0;
        int sent = 0;
        for (int round = 0; round < REQUESTS_EACH; round++) {
            for (int i = 0; i < CONNECTIONS; i++) {
                String name = round + "-" + i;
                denied += denied(kept.get(i), "kept-body-" + name, "", longBody);
                try (Caller fresh = open(i)) {
                    denied += denied(fresh, "new-body-" + name, "", longBody);
                }
                try (Caller fresh = open(i)) {
                    denied += denied(fresh, "new-head-" + name, longLine, 10);
                }
                sent += 3;
            }
        }
        int allowed = 5 + sent / 500;
        journal.write(
                "%d of %d proper requests were denied with a 4xx, allowed are %d",
                denied, sent, allowed);
        return denied > allowed;
    }

    private Caller open(int number) throws IOException {
        return new Caller(nodes.ip(number % nodes.count()), Nodes.FRONT_PORT, 6_000);
    }

    private int denied(Caller caller, String id, String line, int bodyBytes) {
        int status = send(caller, id, line, bodyBytes);
        boolean promise = status == 408 || status == 421 || status == 429;
        return status >= 300 && status < 500 && !promise ? 1 : 0;
    }

    private void awaitServed(List<Caller> callers) throws Failure, InterruptedException {
        for (int i = 0; i < 100; i++) {
            boolean all = true;
            for (Caller caller : callers) {
                all &= send(caller, "warm-" + i + "-" + callers.indexOf(caller), "", 10) == 200;
            }
            if (all) {
                return;
            }
            Thread.sleep(100);
        }
        throw new Failure("the service is not served");
    }

    private int send(Caller caller, String id, String line, int bodyBytes) {
        String fields =
                "Attempt-Id: %s\r\nDeadline-Ms: 5000\r\nX-Api-Key: key-of-shop-a\r\n%s"
                        .formatted(id, line);
        int status = 0;
        String result;
        try {
            byte[] body = new byte[bodyBytes];
            status = caller.call("POST", "/orders/1", "shop.example", fields, body).status();
            result = Integer.toString(status);
        } catch (IOException e) {
            result = e.toString();
        }
        journal.write(
                "client sends %s, %d bytes of fields, %d of body: %s",
                id, fields.length(), bodyBytes, result);
        return status;
    }
}

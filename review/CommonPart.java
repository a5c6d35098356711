import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * All prompts begin with the same part. When the callers of the morning arrive, three of six model
 * replicas crash one after the other and come back.
 */
final class CommonPart extends Case {

    private static final int ENGINES = 6;
    private static final int CRASHES = 3;
    private static final int CRASH_GAP_MS = 450;
    private static final int DOWN_MS = 4_500;
    private static final int PROMPT_TOKENS = 14_000;
    private static final int MORNING_CALLERS = 18;
    private static final int LATER_SECONDS = 30;
    private static final int DEADLINE_MS = 25_000;

    private static final String CONFIG =
            """
            {"version":1,"routes":[\
            {"name":"r1","hostname":"rounds.example","path_prefix":"/letters/",\
            "route_type":"streaming","timeout_ms":25000,"target_latency_ms":4500,"priority":1,\
            "service":"scribe","max_attempts":5,"auth_exempt":false,"session_affinity":true,\
            "stream_resume":true,"gap_target_ms":700},\
            {"name":"r2","hostname":"rounds.example","path_prefix":"/pledges/",\
            "route_type":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,\
            "service":"ledger","max_attempts":2,"auth_exempt":false}],\
            "services":[{"name":"scribe","health_path":"/health","max_connections":250,\
            "protocol":"h1","tls":false,"engine":{"slots":12,"kv_tokens":88000,"kv_bytes":131072,\
            "link_mbps":180000.0,"moves":false,"backups":false,"stride":8,"most":12,\
            "models":[{"name":"m"}]}},\
            {"name":"ledger","health_path":"/health","max_connections":120,\
            "protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,\
            "idle_timeout_ms":15000},\
            "tenants":[{"name":"osu","api_keys":["key-of-osu"],"priority":1}]}""";

    private final ExecutorService callers = Executors.newCachedThreadPool();

    public static void main(String[] arguments) throws Exception {
        run(new CommonPart(), arguments);
    }

    @Override
    boolean isBroken() throws Exception {
        nodes.configure("1", CONFIG);
        nodes.awaitReady();
        new SoundReplica(nodes, journal, "i-ledger", "ledger", 20).started();
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(startEngine("i-scribe-" + i, i));
        }
        awaitServed();
        Thread.sleep(3_000);
        journal.write("the callers of the morning arrive");
        List<Future<Boolean>> streams = new ArrayList<>();
        List<Future<Boolean>> reads = new ArrayList<>();
        for (int i = 0; i < MORNING_CALLERS; i++) {
            streams.add(callers.submit(stream("morning", i)));
        }
        if (trouble) {
            crashInTurn(engines);
        }
        Thread.sleep(DOWN_MS + 3_000);
        for (int second = 0; second < LATER_SECONDS; second++) {
            streams.add(callers.submit(stream("later", second)));
            for (int i = 0; i < 4; i++) {
                reads.add(callers.submit(read(4 * second + i)));
            }
            Thread.sleep(1_000);
        }
        int servedStreams = countServed(streams);
        int servedReads = countServed(reads);
        callers.shutdown();
        double streamShare = servedStreams / (double) streams.size();
        double allShare =
                (servedStreams + servedReads) / (double) (streams.size() + reads.size());
        journal.write(
                "served: %d of %d streams, %d of %d reads; share of streams %.3f, share of all"
                        + " requests %.3f",
                servedStreams, streams.size(), servedReads, reads.size(), streamShare, allShare);
        return streamShare < allShare / 4;
    }

    private Engine startEngine(String id, int number) throws IOException {
        Engine engine = new Engine(nodes, journal, id, "scribe", number);
        engine.started();
        return engine;
    }

    private void crashInTurn(List<Engine> engines) throws Exception {
        Thread.sleep(300);
        for (int i = 0; i < CRASHES; i++) {
            int number = i;
            engines.get(i).crash();
            callers.submit(
                    () -> {
                        Thread.sleep(DOWN_MS);
                        return startEngine("i-scribe-" + number + "-again", number);
                    });
            Thread.sleep(CRASH_GAP_MS);
        }
    }

    private static int countServed(List<Future<Boolean>> requests) throws Exception {
        int served = 0;
        for (Future<Boolean> request : requests) {
            served += request.get(60, TimeUnit.SECONDS) ? 1 : 0;
        }
        return served;
    }

    private void awaitServed() throws Exception {
        for (int i = 0; i < 100; i++) {
            boolean all = true;
            for (int node = 0; node < nodes.count(); node++) {
                all &= send(node, "GET", "/pledges/1", "warm-" + i + "-" + node, 1_000, "");
            }
            if (all && stream("first", i).call()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new Failure("the services are not served");
    }

    /** Every prompt begins with the part aa11; its last part is its own. */
    private Callable<Boolean> stream(String name, int number) {
        String fields =
                "Model: m\r\nToken-Count: %d,300\r\nPrompt-Prefix: aa11:200,%x%04x:%d\r\n"
                        .formatted(PROMPT_TOKENS, name.hashCode(), number, PROMPT_TOKENS - 200);
        String id = name + "-" + number;
        return () ->
                send(number % nodes.count(), "POST", "/letters/" + id, id, DEADLINE_MS, fields);
    }

    private Callable<Boolean> read(int number) {
        String id = "read-" + number;
        return () -> send(number % nodes.count(), "GET", "/pledges/" + number, id, 1_000, "");
    }

    private boolean send(
            int node, String method, String target, String id, int deadlineMs, String lines) {
        String fields =
                "Attempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: key-of-osu\r\n%s"
                        .formatted(id, deadlineMs, lines);
        long startNs = System.nanoTime();
        String result;
        boolean served = false;
        try (Caller caller = new Caller(nodes.ip(node), Nodes.FRONT_PORT, deadlineMs + 1_000)) {
            byte[] body = method.equals("GET") ? new byte[0] : id.getBytes();
            HttpMessage response = caller.call(method, target, "rounds.example", fields, body);
            served = response.status() == 200;
            result =
                    response.status()
                            + (served
                                    ? ", %d bytes".formatted(response.body().length)
                                    : ", Retry-After %s, %s"
                                            .formatted(
                                                    response.header("Retry-After", "(none)"),
                                                    response.text().trim()));
        } catch (IOException e) {
            result = e.toString();
        }
        journal.write(
                "client sent %s to n%d and got after %d ms: %s",
                id, node, (System.nanoTime() - startNs) / 1_000_000, result);
        return served;
    }
}

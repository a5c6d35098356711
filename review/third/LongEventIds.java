import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A replica crashes in the middle of a stream whose event ids have 19 digits. */
final class LongEventIds extends Case {

    private static final String SERVICE = "huvo11a";
    private static final String KEY = "xd9dnn2ctnfzs989anu6";
    private static final String TARGET = "/lohu930/2f";
    private static final int TIMEOUT_MS = 25_000;
    private static final int EVENTS_BEFORE_CRASH = 10;

    /** One crash takes a share of 0.167 of the replicas; the site allows 0.17. */
    private static final int REPLICAS = 6;

    private static final Pattern ID = Pattern.compile("(?m)^id: ([0-9]+)$");

    public static void main(String[] arguments) {
        run(new LongEventIds(), arguments);
    }

    @Override
    boolean play() throws Exception {
        List<StreamReplica> replicas = new ArrayList<>();
        try (Deployment deployment = new Deployment(record, root, 4, 6)) {
            deployment.startAll();
            putConfiguration(deployment);
            if (!deployment.awaitReady(20_000)) {
                throw new NotRunException("the machines are not ready");
            }
            for (int i = 1; i <= REPLICAS; i++) {
                replicas.add(
                        new StreamReplica(
                                record,
                                SERVICE,
                                "i-" + i,
                                deployment.standInAddress(i),
                                "zone-" + ((i - 1) % 4 + 1),
                                deployment.controlAddresses()));
            }
            Thread.sleep(5_000);
            return streamAndCheck(deployment, replicas);
        } finally {
            for (Replica replica : replicas) {
                replica.close();
            }
        }
    }

    private void putConfiguration(Deployment deployment) throws Exception {
        String route =
                """
                {"name":"r-1","hostname":"%s","path_prefix":"/lohu930/",\
                "route_type":"streaming","timeout_ms":%d,"target_latency_ms":4500,"priority":1,\
                "service":"%s","max_attempts":5,"auth_exempt":false,"session_affinity":true,\
                "stream_resume":true,"gap_target_ms":700}"""
                        .formatted(Configurations.HOST, TIMEOUT_MS, SERVICE);
        String text =
                Configurations.text(
                        1,
                        List.of(route),
                        List.of(SERVICE),
                        Configurations.tenant("huka270", KEY));
        if (new Operator(record).put(deployment.controlAddresses(), text, 20_000).orElse(0)
                != 200) {
            throw new NotRunException("the configuration was not acknowledged");
        }
    }

    private boolean streamAndCheck(Deployment deployment, List<StreamReplica> replicas)
            throws Exception {
        String id = "%016x".formatted(ThreadLocalRandom.current().nextLong());
        String front = deployment.machine(1).front();
        record.line("client: POST %s, id %s, at %s", TARGET, id, front);
        CompletableFuture<Optional<Message>> response =
                CompletableFuture.supplyAsync(
                        () ->
                                Calls.call(
                                        front,
                                        "POST",
                                        TARGET,
                                        fields(id),
                                        "prompt".getBytes(),
                                        TIMEOUT_MS));
        if (hasTrouble) {
            crashRunning(replicas, id);
        }
        Optional<Message> answer = response.get();
        if (answer.isEmpty() || answer.get().status() != 200) {
            throw new NotRunException("the stream has no complete response");
        }
        return isInOrder(answer.get().text(), id);
    }

    private static Map<String, String> fields(String id) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", Configurations.HOST);
        fields.put("Attempt-Id", id);
        fields.put("Model", "m");
        fields.put("Token-Count", "1460,80");
        fields.put("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        fields.put("Deadline-Ms", "" + TIMEOUT_MS);
        fields.put("X-Api-Key", KEY);
        return fields;
    }

    /** Crashes the replica that runs the request after it has sent some events. */
    private static void crashRunning(List<StreamReplica> replicas, String id) throws Exception {
        for (int i = 0; i < 1_000; i++) {
            for (StreamReplica replica : replicas) {
                boolean runs =
                        replica.runs().stream().anyMatch(run -> run.requestId().equals(id));
                if (runs && replica.sentEvents() >= EVENTS_BEFORE_CRASH) {
                    replica.crash();
                    return;
                }
            }
            Thread.sleep(10);
        }
        throw new NotRunException("no replica runs the stream");
    }

    /** Checks a response that ended as complete. */
    private boolean isInOrder(String text, String requestId) {
        StringBuilder expected = new StringBuilder();
        for (int number = 1; number <= StreamReplica.EVENTS; number++) {
            expected.append(StreamReplica.eventOf(requestId, number));
        }
        List<Long> ids = new ArrayList<>();
        for (Matcher matcher = ID.matcher(text); matcher.find(); ) {
            ids.add(Long.parseLong(matcher.group(1)));
        }
        long twice = ids.size() - ids.stream().distinct().count();
        record.line("client: the complete response has the event ids %s", ids);
        record.line(
                "check: %d events, %d of them came twice; the response is as expected: %s",
                ids.size(), twice, expected.toString().equals(text));
        return expected.toString().equals(text);
    }
}

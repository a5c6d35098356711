package io.sapphirestack.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.load.GenerationResult;
import io.sapphirestack.standins.support.AddressBook;
import io.sapphirestack.standins.support.HttpAnswer;
import io.sapphirestack.standins.support.HttpConnection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;

/** Steps of the demonstration, in order. Used by one thread. */
final class DemoScenario {

    private static final String ACCOUNT = "acme";
    private static final long RESUME_LIMIT_MS = 5_000;
    private static final long BETWEEN_LOSSES_MS = 2_500;
    // A wait belongs to the loss that it began at; the last token came shortly before the loss.
    private static final long TOKEN_MARGIN_MS = 300;
    private static final long CONFIG_LIMIT_MS = 11_000;

    private final DemoFleet fleet;
    private final DemoReport report;
    private final ExecutorService executor;
    private final MillisClock clock = MillisClock.monotonic();
    private final OperatorClient operator;
    private final List<String> instances;
    private final Set<String> killed = new HashSet<>();
    private long accountRevision;

    DemoScenario(DemoFleet fleet, DemoReport report, ExecutorService executor) {
        this.fleet = fleet;
        this.report = report;
        this.executor = executor;
        this.instances = fleet.instanceAddresses();
        AddressBook book = new AddressBook(instances, "", 7, clock);
        this.operator = new OperatorClient(book, DemoFleet.OPERATOR_KEY, clock);
    }

    void run() throws IOException, InterruptedException {
        if (!startAndConfigure()) {
            return;
        }
        killEngineAndEntry();
        orders();
        recordChange();
        plannedStops();
    }

    private boolean startAndConfigure() throws IOException {
        long startMs = clock.nowMs();
        List<String> down = new ArrayList<>();
        for (int i = 1; i <= DemoFleet.INSTANCES; i++) {
            String name = "i" + i;
            if (!Waiting.until(() -> fleet.answers(name, "/ready"), 20_000)) {
                down.add(name + ": " + fleet.logTail(name));
            }
        }
        report.add(
                "started 10 instances, 6 engines, 2 services, 1 weight store",
                "all instances ready",
                down.isEmpty(),
                down.isEmpty() ? (clock.nowMs() - startMs) + " ms" : down.toString());
        if (!down.isEmpty()) {
            return false;
        }
        operator.put(
                "service",
                "scribe",
                0,
                Map.of("type", "ENGINE", "endpointKeyHash", DemoFleet.hash(DemoFleet.ENGINE_KEY)));
        operator.put(
                "service",
                "ledger",
                0,
                Map.of(
                        "type",
                        "PLAIN",
                        "endpointKeyHash",
                        DemoFleet.hash(DemoFleet.SERVICE_KEY),
                        "lookUp",
                        true));
        operator.put(
                "model",
                "m1",
                0,
                Map.of(
                        "service",
                        "scribe",
                        "pin",
                        Map.of("model", "base", "adapter", "", "version", "1")));
        accountRevision =
                operator.put(
                        "account",
                        ACCOUNT,
                        0,
                        Map.of("keyHash", DemoFleet.hash(DemoFleet.ACCOUNT_KEY)));
        boolean inForce = operator.inForce(accountRevision, CONFIG_LIMIT_MS);
        int endpoints = DemoFleet.ENGINES + DemoFleet.SERVICES;
        boolean known =
                Waiting.until(() -> operator.fleet().path("endpoints").size() == endpoints, 15_000);
        report.add(
                "submitted 4 records, endpoints announce themselves",
                "in force everywhere, 8 endpoints known",
                inForce && known,
                (clock.nowMs() - startMs) + " ms after the start");
        return inForce && known;
    }

    private void killEngineAndEntry() throws InterruptedException {
        GenerationBatch batch = new GenerationBatch(executor, instances, 16, 600);
        boolean deep = Waiting.until(() -> batch.beyond(100).size() >= 12, 20_000);
        String engine = busiestEngine();
        int streams = fleet.running(engine);
        long engineKilledMs = clock.nowMs();
        fleet.processes().kill(engine);
        killed.add(engine);
        // Longer than a resume usually takes, so that the two losses are measured apart.
        Waiting.pause(BETWEEN_LOSSES_MS);
        String entry = entryOf(batch.beyond(100));
        long entryKilledMs = clock.nowMs();
        fleet.processes().kill(entry);
        killed.add(entry);
        List<GenerationResult> results = batch.results();
        boolean whole = GenerationBatch.allComplete(results);
        long splitMs = entryKilledMs - TOKEN_MARGIN_MS;
        long engineGapMs = longestGap(results, engineKilledMs - TOKEN_MARGIN_MS, splitMs);
        long entryGapMs = longestGap(results, splitMs, Long.MAX_VALUE);
        report.add(
                "16 generations of 600 tokens; SIGKILL of engine " + engine,
                "every token once and as expected",
                deep && whole,
                GenerationBatch.describe(results));
        report.add(
                "resume after the loss of the engine",
                "within " + RESUME_LIMIT_MS + " ms",
                streams > 0 && engineGapMs <= RESUME_LIMIT_MS,
                "longest wait for a token " + engineGapMs + " ms, " + streams + " streams lost");
        report.add(
                "resume after SIGKILL of entry instance " + entry,
                "within " + RESUME_LIMIT_MS + " ms",
                entryGapMs <= RESUME_LIMIT_MS,
                "longest wait for a token "
                        + entryGapMs
                        + " ms, "
                        + results.stream().mapToInt(GenerationResult::continuations).sum()
                        + " continuations at another address");
        reportRecomputed(results);
    }

    private void reportRecomputed(List<GenerationResult> results) {
        long recomputed = 0;
        int attempts = 0;
        int known = 0;
        for (GenerationResult result : results) {
            JsonNode status = status(result.id());
            known += status.has("recomputedTokens") ? 1 : 0;
            recomputed += status.path("recomputedTokens").asLong();
            attempts += status.path("attempts").asInt();
        }
        report.add(
                "asked for the state of all generations",
                "finished and known at a living instance",
                known == results.size(),
                recomputed + " tokens computed again in " + attempts + " attempts");
    }

    private void orders() throws IOException {
        int wrong = 0;
        int count = 30;
        for (int i = 0; i < count; i++) {
            String key = "plain-" + i;
            HttpAnswer answer = OrderCaller.send(living(i), key);
            wrong += answer.status() == 200 && fleet.runs(ACCOUNT, key) == 1 ? 0 : 1;
        }
        report.add(
                "sent " + count + " orders",
                "each answered and run once by the service's count",
                wrong == 0,
                wrong + " wrong");
        setServiceFault(Map.of("delayMs", 600));
        OrderCaller.sendAndLeave(living(0), "cut-caller", 200);
        HttpAnswer resent = OrderCaller.send(living(1), "cut-caller");
        setServiceFault(Map.of("delayMs", 0));
        int runs = fleet.runs(ACCOUNT, "cut-caller");
        report.add(
                "caller's connection cut, order resent at another instance",
                "run once, resend gets the answer",
                runs == 1 && resent.status() == 200,
                "runs " + runs + ", resend " + resent.status() + " " + resent.code());
        setServiceFault(Map.of("dropAnswers", 1));
        HttpAnswer dropped = OrderCaller.send(living(2), "cut-answer");
        setServiceFault(Map.of("dropAnswers", 0));
        HttpAnswer again = OrderCaller.send(living(3), "cut-answer");
        runs = fleet.runs(ACCOUNT, "cut-answer");
        report.add(
                "service's answer cut, order resent at another instance",
                "run once, never reported as not run",
                runs == 1 && !ranNo(dropped) && !ranNo(again),
                "runs " + runs + ", first " + dropped.status() + ", resend " + again.status());
    }

    private void recordChange() throws IOException {
        long startMs = clock.nowMs();
        long revision =
                operator.put(
                        "account",
                        ACCOUNT,
                        accountRevision,
                        Map.of("keyHash", DemoFleet.hash(DemoFleet.ACCOUNT_KEY), "priority", 7));
        boolean inForce = operator.inForce(revision, CONFIG_LIMIT_MS);
        long tookMs = clock.nowMs() - startMs;
        report.add(
                "changed a record",
                "in force everywhere within " + CONFIG_LIMIT_MS + " ms",
                inForce && tookMs <= CONFIG_LIMIT_MS,
                tookMs + " ms");
    }

    private void plannedStops() throws IOException, InterruptedException {
        GenerationBatch batch = new GenerationBatch(executor, instances, 12, 300);
        Waiting.until(() -> batch.beyond(30).size() >= 8, 20_000);
        String engine = busiestEngine();
        String instance = entryOf(batch.beyond(1));
        long startMs = clock.nowMs();
        operator.put("stop", "endpoint:" + engine, 0, Map.of("maxWaitMs", 30_000));
        operator.put("stop", "instance:" + instance, 0, Map.of("maxWaitMs", 30_000));
        Waiting.pause(3_500);
        GenerationBatch later = new GenerationBatch(executor, instances, 6, 100);
        List<GenerationResult> results = new ArrayList<>(batch.results());
        results.addAll(later.results());
        report.add(
                "planned stop of engine " + engine + " and instance " + instance + " under load",
                "no output cut, every token as expected",
                GenerationBatch.allComplete(results),
                GenerationBatch.describe(results));
        boolean idle = Waiting.until(() -> fleet.running(engine) == 0, 5_000);
        boolean reported = Waiting.until(() -> stopped("endpoint:" + engine), 8_000);
        report.add(
                "engine " + engine + " drained",
                "no stream left and reported as stopped",
                idle && reported,
                "idle " + idle + ", reported " + reported);
        boolean left = Waiting.until(() -> !fleet.processes().isAlive(instance), 15_000);
        long leftMs = clock.nowMs() - startMs;
        if (left) {
            killed.add(instance);
        }
        boolean listed = !left || listed(fleet.address(instance));
        report.add(
                "instance " + instance + " left",
                "process ended by itself, address no longer listed",
                left && !listed,
                left ? leftMs + " ms after the change" : "still running");
    }

    private boolean stopped(String name) throws IOException {
        for (JsonNode stop : operator.fleet().path("stops")) {
            if (stop.path("name").asText().equals(name)) {
                return stop.path("state").asText().equals("stopped");
            }
        }
        return false;
    }

    private boolean listed(String address) throws IOException {
        HttpAnswer answer =
                HttpConnection.call(living(0), 2_000, "GET", "/v1/addresses", Map.of(), null);
        for (JsonNode entry : answer.json().path("addresses")) {
            if (entry.path("address").asText().equals(address)) {
                return true;
            }
        }
        return false;
    }

    private String busiestEngine() {
        String busiest = "e1";
        int most = -1;
        for (int i = 1; i <= DemoFleet.ENGINES; i++) {
            String name = "e" + i;
            int running = killed.contains(name) ? -1 : fleet.running(name);
            if (running > most) {
                most = running;
                busiest = name;
            }
        }
        return busiest;
    }

    /** Returns the instance that accepted one of the generations; not a voter if possible. */
    private String entryOf(List<String> ids) {
        String entry = "";
        for (String id : ids) {
            String[] parts = id.split("-");
            String instance = parts.length > 1 ? parts[1] : "";
            boolean voter = Set.of("i1", "i2", "i3").contains(instance);
            if (!killed.contains(instance) && (entry.isEmpty() || !voter)) {
                entry = instance;
            }
        }
        return entry.isEmpty() ? "i10" : entry;
    }

    /** Returns the address of an instance that was neither killed nor stopped. */
    private String living(int number) {
        List<String> living = new ArrayList<>();
        for (int i = 1; i <= DemoFleet.INSTANCES; i++) {
            if (!killed.contains("i" + i)) {
                living.add(fleet.address("i" + i));
            }
        }
        return living.get(number % living.size());
    }

    private JsonNode status(String id) {
        try {
            return HttpConnection.call(
                            living(0),
                            3_000,
                            "GET",
                            "/v1/generations/" + id,
                            Map.of("Authorization", "Bearer " + DemoFleet.ACCOUNT_KEY),
                            null)
                    .json();
        } catch (IOException e) {
            return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
        }
    }

    private void setServiceFault(Map<String, ?> fault) throws IOException {
        for (int i = 1; i <= DemoFleet.SERVICES; i++) {
            fleet.call("s" + i, "POST", "/faults", fault);
        }
    }

    private static boolean ranNo(HttpAnswer answer) {
        return answer.json().path("ran").asText().equals("no");
    }

    private static long longestGap(List<GenerationResult> results, long fromMs, long untilMs) {
        return results.stream()
                .mapToLong(result -> result.longestGapMs(fromMs, untilMs))
                .max()
                .orElse(0);
    }
}

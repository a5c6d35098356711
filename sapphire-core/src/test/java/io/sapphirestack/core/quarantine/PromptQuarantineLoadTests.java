package io.sapphirestack.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays a fleet in which a share of the prompts crashes the engines, and guards against instances
 * that go on sending such prompts or refuse sound prompts that share other parts with them. The
 * instances learn of each other's reports after the delay of the dissemination.
 */
class PromptQuarantineLoadTests {

    private static final String SERVICE = "scribe";
    private static final long PREFILL_MS = 1_500;
    private static final long RESTART_MS = 3_000;
    private static final long DAY_MS = 30_000;
    private static final long EXCHANGE_INTERVAL_MS = 300;
    private static final int MAX_ATTEMPTS = 5;

    /** Time after the fifth crash from which almost no such prompt may be sent any more. */
    private static final long STABLE_WINDOW_MS = 3_000;

    private static final int MAX_LATE_SENDS = 3;

    private long nowMs;
    private Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private long eventCount;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<Integer, Integer> processOfEngine = new HashMap<>();
    private final List<Long> crashesAtMs = new ArrayList<>();
    private final List<Long> deadlySendsAtMs = new ArrayList<>();
    private int soundRequests;
    private int soundRefused;

    private record Event(long atMs, long number, Runnable action) {}

    /** Instance with its own view of the crashes. */
    private final class Instance {
        private final CrashReportTable reports = new CrashReportTable(() -> nowMs);
        private final EvidenceExchange<CrashReport> exchange = EvidenceExchange.ofReports(reports);
        private final PromptQuarantine quarantine = new PromptQuarantine(reports, () -> nowMs);
    }

    private record Prompt(PromptParts parts, RequestFingerprint request, boolean deadly) {}

    private void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventCount++, action));
    }

    @ParameterizedTest
    @CsvSource({
        "10, 25, 6, 0.05, 1", "10, 25, 6, 0.3, 2", "10, 13, 3, 0.5, 3", "80, 100, 30, 0.2, 4",
        "100, 59, 18, 0.1, 5", "300, 180, 60, 0.3, 6", "10, 25, 6, 0.1, 7", "10, 13, 2, 0.9, 8",
    })
    void promptsThatCrashEnginesAreNoLongerSentAndSoundOnesAre(
            int instanceCount, int engines, int requestsPerSecond, double share, long seed) {
        random = new Random(seed);
        nowMs = 1_000_000_000;
        long endMs = nowMs + DAY_MS;
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new Instance());
        }
        for (int i = 0; i < engines; i++) {
            processOfEngine.put(i, 0);
        }
        scheduleArrival(requestsPerSecond, share, endMs);
        schedule(EXCHANGE_INTERVAL_MS, () -> exchange(endMs));
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        assertThat(lateDeadlySends()).isLessThanOrEqualTo(MAX_LATE_SENDS);
        assertThat(soundRefused).isLessThanOrEqualTo(soundRequests / 50);
    }

    private long lateDeadlySends() {
        if (crashesAtMs.size() < 5) {
            return 0;
        }
        long boundMs = crashesAtMs.get(4) + STABLE_WINDOW_MS;
        return deadlySendsAtMs.stream().filter(atMs -> atMs > boundMs).count();
    }

    private void scheduleArrival(int requestsPerSecond, double share, long endMs) {
        long gapMs = (long) (-Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond);
        schedule(
                gapMs,
                () -> {
                    if (nowMs < endMs) {
                        arrive(share);
                        scheduleArrival(requestsPerSecond, share, endMs);
                    }
                });
    }

    /** Sound prompts share their first part with deadly ones, which use one of five. */
    private void arrive(double share) {
        boolean deadly = random.nextDouble() < share;
        String first = "first" + random.nextInt(5);
        List<String> parts = deadly ? List.of(first, "deadly") : List.of(first, "own");
        soundRequests += deadly ? 0 : 1;
        Instance instance = instances.get(random.nextInt(instances.size()));
        send(
                instance,
                new Prompt(new PromptParts(parts), new RequestFingerprint(eventCount), deadly),
                1);
    }

    private void send(Instance instance, Prompt prompt, int attempt) {
        List<Integer> running = List.copyOf(processOfEngine.keySet());
        if (instance.quarantine
                .remainingMs(SERVICE, prompt.parts(), prompt.request())
                .isPresent()) {
            soundRefused += prompt.deadly() ? 0 : 1;
            return;
        }
        if (running.isEmpty()) {
            return;
        }
        int engine = running.get(random.nextInt(running.size()));
        int process = processOfEngine.get(engine);
        if (prompt.deadly()) {
            deadlySendsAtMs.add(nowMs);
        }
        schedule(PREFILL_MS, () -> begin(instance, prompt, attempt, engine, process));
    }

    /** The engine begins to answer, unless it has crashed or the attempt was cancelled. */
    private void begin(Instance instance, Prompt prompt, int attempt, int engine, int process) {
        boolean cancelled =
                instance.quarantine
                        .remainingMs(SERVICE, prompt.parts(), prompt.request())
                        .isPresent();
        boolean isRunning = processOfEngine.getOrDefault(engine, -1) == process;
        if (isRunning && cancelled) {
            soundRefused += prompt.deadly() ? 0 : 1;
            return;
        }
        if (isRunning && !prompt.deadly()) {
            instance.quarantine.recordAnswer(SERVICE, prompt.parts(), prompt.request());
            return;
        }
        if (isRunning) {
            crashesAtMs.add(nowMs);
            processOfEngine.remove(engine);
            schedule(RESTART_MS, () -> processOfEngine.put(engine, process + 1));
        }
        EndpointId id = EndpointId.of("e" + engine);
        instance.quarantine.recordCrash(
                id, process, SERVICE, prompt.parts(), prompt.request(), PREFILL_MS);
        if (attempt < MAX_ATTEMPTS) {
            send(instance, prompt, attempt + 1);
        }
    }

    /** Each instance sends its news to two others, as over the edges of a tree. */
    private void exchange(long endMs) {
        for (int i = 1; i < instances.size(); i++) {
            Instance child = instances.get(i);
            Instance parent = instances.get((i - 1) / 3);
            child.exchange.receive(parent.exchange.encodeFor(InstanceId.of("i" + i)));
            parent.exchange.receive(child.exchange.encodeFor(InstanceId.of("parent")));
        }
        if (nowMs < endMs) {
            schedule(EXCHANGE_INTERVAL_MS, () -> exchange(endMs));
        }
    }
}

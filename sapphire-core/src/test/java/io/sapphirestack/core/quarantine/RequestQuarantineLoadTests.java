package io.sapphirestack.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays a day on which one read crashes the servers of a small service, while a popular sound read
 * makes up most of the traffic and the servers of a rack crash as well. Guards against a service
 * that one request keeps down, and against a popular request that is refused after such a crash.
 */
class RequestQuarantineLoadTests {

    private static final long DAY_MS = 60_000;
    private static final long RUN_MS = 30;
    private static final long RESTART_MS = 3_000;
    private static final long EXCHANGE_MS = 10;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_LATE_SENDS = 3;
    private static final long RACK_CRASH_INTERVAL_MS = 9_000;
    private static final RequestFingerprint DEADLY = new RequestFingerprint(1);
    private static final RequestFingerprint POPULAR = new RequestFingerprint(2);

    private Random random;
    private long nowMs = 1_000_000_000;
    private long eventCount;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final List<Instance> instances = new ArrayList<>();
    private int[] processes;
    private long[] upAtMs;
    private final List<Long> deadlyCrashesAtMs = new ArrayList<>();
    private final List<Long> deadlySendsAtMs = new ArrayList<>();
    private int soundRequests;
    private int soundRefused;

    private record Event(long atMs, long number, Runnable action) {}

    private final class Instance {
        private final CrashHistoryTable histories = new CrashHistoryTable(() -> nowMs);
        private final EvidenceExchange<CrashHistory> exchange =
                EvidenceExchange.ofHistories(histories);
        private final RequestQuarantine quarantine =
                new RequestQuarantine(histories, () -> nowMs, random.nextLong());
    }

    private void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventCount++, action));
    }

    @ParameterizedTest
    @CsvSource({
        "10, 4, 20, 0.03, 1", "10, 4, 100, 0.03, 2", "10, 4, 20, 0.5, 3", "80, 4, 40, 0.1, 4",
        "100, 6, 60, 0.02, 5", "300, 12, 200, 0.3, 6", "10, 2, 20, 0.2, 7", "10, 4, 20, 0.01, 8",
    })
    void requestThatCrashesServersIsNoLongerSentAndPopularOnesAre(
            int instanceCount, int servers, int requestsPerSecond, double share, long seed) {
        random = new Random(seed);
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new Instance());
        }
        processes = new int[servers];
        upAtMs = new long[servers];
        long endMs = nowMs + DAY_MS;
        repeat(1_000 / requestsPerSecond, endMs, () -> arrive(share));
        repeat(EXCHANGE_MS, endMs, this::exchange);
        repeat(RACK_CRASH_INTERVAL_MS, endMs, this::crashHalf);
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        assertThat(lateDeadlySends()).isLessThanOrEqualTo(MAX_LATE_SENDS);
        assertThat(deadlyCrashesAtMs).hasSizeLessThanOrEqualTo(2 * servers);
        assertThat(soundRefused).isLessThanOrEqualTo(soundRequests / 100);
    }

    private long lateDeadlySends() {
        if (deadlyCrashesAtMs.size() < 3) {
            return 0;
        }
        long boundMs = deadlyCrashesAtMs.get(2) + STABLE_WINDOW_MS;
        return deadlySendsAtMs.stream().filter(atMs -> atMs > boundMs).count();
    }

    private void repeat(long intervalMs, long endMs, Runnable action) {
        schedule(
                intervalMs,
                () -> {
                    if (nowMs < endMs) {
                        action.run();
                        repeat(intervalMs, endMs, action);
                    }
                });
    }

    private void arrive(double share) {
        RequestFingerprint request = POPULAR;
        if (random.nextDouble() < share) {
            request = DEADLY;
        } else if (random.nextDouble() < 0.3) {
            request = new RequestFingerprint(random.nextLong());
        }
        soundRequests += request == DEADLY ? 0 : 1;
        send(instances.get(random.nextInt(instances.size())), request, 1);
    }

    private void send(Instance instance, RequestFingerprint request, int attempt) {
        if (instance.quarantine.remainingMs(request).isPresent()) {
            soundRefused += request == DEADLY ? 0 : 1;
            return;
        }
        List<Integer> running = new ArrayList<>();
        for (int i = 0; i < processes.length; i++) {
            if (upAtMs[i] <= nowMs) {
                running.add(i);
            }
        }
        if (running.isEmpty()) {
            return;
        }
        int server = running.get(random.nextInt(running.size()));
        int process = processes[server];
        if (request == DEADLY) {
            deadlySendsAtMs.add(nowMs);
        }
        schedule(RUN_MS, () -> end(instance, request, attempt, server, process));
    }

    private void end(
            Instance instance, RequestFingerprint request, int attempt, int server, int process) {
        boolean isRunning = processes[server] == process;
        if (isRunning && request != DEADLY) {
            instance.quarantine.recordAnswer(request);
            return;
        }
        if (isRunning) {
            deadlyCrashesAtMs.add(nowMs);
            crash(server);
        }
        EndpointId id = EndpointId.of("s" + server);
        instance.quarantine.recordCrash(id, process, request, RUN_MS);
        if (attempt < MAX_ATTEMPTS) {
            send(instance, request, attempt + 1);
        }
    }

    private void crash(int server) {
        processes[server]++;
        upAtMs[server] = nowMs + RESTART_MS;
    }

    private void crashHalf() {
        for (int i = 0; i < processes.length / 2; i++) {
            crash(i);
        }
    }

    /** Each instance sends its news to its neighbours, as over the edges of a tree. */
    private void exchange() {
        for (int i = 1; i < instances.size(); i++) {
            Instance child = instances.get(i);
            Instance parent = instances.get((i - 1) / 3);
            child.exchange.receive(parent.exchange.encodeFor(InstanceId.of("i" + i)));
            parent.exchange.receive(child.exchange.encodeFor(InstanceId.of("parent")));
        }
    }
}

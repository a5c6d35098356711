package io.sapphirestack.standins.load;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.service.ServiceServer;
import io.sapphirestack.standins.support.BufferedHttpResponse;
import io.sapphirestack.standins.support.InstanceSelector;
import io.sapphirestack.standins.support.StandInClientConnection;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Generates an open-loop load: requests are sent at fixed times regardless of the responses, and
 * latency is measured from the time at which a request was due. Used by one thread.
 */
final class LoadRunner {

    // Bounds the number of threads. Requests beyond this limit are counted instead of delayed.
    private static final int MAX_IN_FLIGHT = 2_000;
    private static final int REQUEST_TIMEOUT_MS = 15_000;
    private static final long GENERATION_TIMEOUT_MS = 120_000;

    private final LoadOptions options;
    private final MillisClock clock;
    private final LoadStatistics statistics;
    private final InstanceSelector instances;
    private final GenerationClient generationClient;
    // Part of the idempotency keys, so that they differ from those of earlier loads with the same
    // seed.
    private final String runId = UUID.randomUUID().toString();
    private final String sharedPrompt;

    LoadRunner(LoadOptions options, MillisClock clock, LoadStatistics statistics) {
        this.options = options;
        this.clock = clock;
        this.statistics = statistics;
        this.instances =
                new InstanceSelector(options.instanceAddresses(), "", options.seed(), clock);
        this.generationClient =
                new GenerationClient(instances, options.accountKey(), clock, GENERATION_TIMEOUT_MS);
        this.sharedPrompt = "x".repeat(Math.max(0, options.promptBytes()));
    }

    /** Sends the whole load and waits for the responses. */
    void run() throws InterruptedException {
        ExecutorService executor =
                new ThreadPoolExecutor(
                        0,
                        MAX_IN_FLIGHT,
                        10,
                        TimeUnit.SECONDS,
                        new SynchronousQueue<>(),
                        task -> {
                            Thread thread = new Thread(task, "load");
                            thread.setDaemon(true);
                            return thread;
                        });
        List<RequestSchedule> schedules =
                List.of(
                        new RequestSchedule(options.generationsPerS(), this::sendGeneration),
                        new RequestSchedule(options.ordersPerS(), this::sendOrder),
                        new RequestSchedule(options.readsPerS(), this::sendRead));
        long startMs = clock.nowMs();
        long endMs = options.durationS() * 1_000;
        while (true) {
            RequestSchedule next = schedules.get(0);
            for (RequestSchedule schedule : schedules) {
                next = schedule.dueMs() < next.dueMs() ? schedule : next;
            }
            if (next.dueMs() >= endMs) {
                break;
            }
            long dueMs = startMs + next.dueMs();
            Thread.sleep(Math.max(0, dueMs - clock.nowMs()));
            submit(executor, next, dueMs);
        }
        executor.shutdown();
        if (!executor.awaitTermination(GENERATION_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            statistics.count("wrong: requests without an end");
        }
    }

    private void submit(ExecutorService executor, RequestSchedule schedule, long dueMs) {
        int number = schedule.takeNumber();
        try {
            executor.execute(() -> schedule.sender.send(number, dueMs));
        } catch (RejectedExecutionException e) {
            statistics.count("not sent: too many in flight");
        }
    }

    private void sendGeneration(int number, long dueMs) {
        CompletionRequest request =
                new CompletionRequest(
                        options.model(),
                        sharedPrompt + number % 100,
                        options.tokens(),
                        options.seed() + number,
                        runId + "-" + number);
        GenerationResult result = generationClient.generate(request, (id, count) -> {});
        statistics.count("generations");
        if (result.complete()) {
            List<Long> arrivalTimesMs = result.arrivalTimesMs();
            statistics.recordLatency("time to first token", arrivalTimesMs.get(0) - dueMs);
            for (int i = 1; i < arrivalTimesMs.size(); i++) {
                statistics.recordLatency(
                        "between tokens", arrivalTimesMs.get(i) - arrivalTimesMs.get(i - 1));
            }
            statistics.recordLatency("longest gap", result.longestGapMs(0, Long.MAX_VALUE));
        } else if (result.generationId().isEmpty()) {
            statistics.countRefusal(result.failure());
        } else {
            statistics.count("wrong: " + result.failure());
        }
    }

    private void sendOrder(int number, long dueMs) {
        String key = "load-" + runId + "-" + number;
        String path = "/v1/services/" + options.service() + "/orders";
        BufferedHttpResponse response =
                sendRequest("POST", path, key, "{}".getBytes(StandardCharsets.UTF_8));
        statistics.count("orders");
        if (response.status() == 200) {
            statistics.recordLatency("order", clock.nowMs() - dueMs);
            if (response.json().path("run").asInt() != 1) {
                statistics.count("wrong: order ran more than once");
            }
        } else {
            statistics.countRefusal(response.problemCode());
        }
    }

    private void sendRead(int number, long dueMs) {
        String item = "stock/" + number % 100;
        String path = "/v1/services/" + options.service() + "/read/" + item;
        BufferedHttpResponse response = sendRequest("GET", path, "", null);
        statistics.count("reads");
        if (response.status() == 200) {
            statistics.recordLatency("read", clock.nowMs() - dueMs);
            Object expected = ServiceServer.expectedReadContent(item).get("value");
            if (!response.json().path("value").asText().equals(expected)) {
                statistics.count("wrong: content of a read");
            }
        } else {
            statistics.countRefusal(response.problemCode());
        }
    }

    private BufferedHttpResponse sendRequest(String method, String path, String key, byte[] body) {
        String address = instances.chooseAddress();
        Map<String, String> headers =
                key.isEmpty()
                        ? Map.of("Authorization", "Bearer " + options.accountKey())
                        : Map.of(
                                "Authorization",
                                "Bearer " + options.accountKey(),
                                "Idempotency-Key",
                                key);
        try {
            return StandInClientConnection.sendOnNewConnection(
                    address, REQUEST_TIMEOUT_MS, method, path, headers, body);
        } catch (IOException e) {
            instances.markFailed(address);
            return new BufferedHttpResponse(
                    0, Map.of(), "{\"code\":\"connection\"}".getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Sends one request and records its outcome. */
    @FunctionalInterface
    private interface RequestSender {
        void send(int number, long dueMs);
    }

    /** Schedule of the requests of one kind at a fixed rate. */
    private static final class RequestSchedule {
        private final double requestsPerS;
        private final RequestSender sender;
        private int sentCount;

        RequestSchedule(double requestsPerS, RequestSender sender) {
            this.requestsPerS = requestsPerS;
            this.sender = sender;
        }

        /**
         * Returns the time at which the next request is due, in milliseconds from the start; {@code
         * Long.MAX_VALUE} if the rate is 0.
         */
        long dueMs() {
            return requestsPerS <= 0
                    ? Long.MAX_VALUE
                    : Math.round(sentCount * 1_000.0 / requestsPerS);
        }

        /** Returns the number of the next request, starting at 0, and advances the schedule. */
        int takeNumber() {
            return sentCount++;
        }
    }
}

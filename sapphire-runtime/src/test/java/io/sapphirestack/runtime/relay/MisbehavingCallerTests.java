package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.CallerLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against callers that send bytes without end, slowly, many at once or only in part, and
 * against requests that a planned stop cuts off without a response. The tests use TCP connections.
 */
@Timeout(60)
class MisbehavingCallerTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";
    private static final CallerLimits LIMITS = new CallerLimits(16 * 1024, 1024 * 1024, 400, 800);
    private static final int OVERRUN_MS = 500;
    private static final int CALLERS = 60;

    /** Far below the time that the route allows. */
    private static final int STOPPED_REQUEST_LIMIT_MS = 3_000;

    private static final String PADDING = "x".repeat(8_000);
    private static final String HEAD =
            "POST /order/ HTTP/1.1\r\nHost: h\r\nSapphire-Key: k1\r\nSapphire-Request-Id: r1\r\n";

    /** Bytes that never form a complete request. */
    enum EndlessRequest {
        HEADER_LINE(HEAD + "X: ", PADDING, 0),
        HEADER_FIELDS(HEAD, "X: y\r\n", 0),
        REQUEST_LINE("GET /", PADDING, 0),
        CHUNKS(HEAD + "Transfer-Encoding: chunked\r\n\r\n", "1f40\r\n" + PADDING + "\r\n", 0),
        CHUNK_EXTENSION(HEAD + "Transfer-Encoding: chunked\r\n\r\n5;", PADDING, 0),
        TRAILERS(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 0),
        SLOW_HEADER(HEAD + "X: ", "x", 50),
        SLOW_BODY(HEAD + "Content-Length: 900000\r\n\r\n", "x", 50);

        private final String start;
        private final String repeated;
        private final int intervalMs;

        EndlessRequest(String start, String repeated, int intervalMs) {
            this.start = start;
            this.repeated = repeated;
            this.intervalMs = intervalMs;
        }
    }

    private static ScriptedEndpoint endpoint() throws IOException {
        return new ScriptedEndpoint(
                "e1",
                "z1",
                (request, socket, out) -> write(out, response(request, 200, SEAL, "ok")));
    }

    private static int status(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a request until the relay closes the connection; returns how long that took. */
    private static long sendUntilClosed(RelayTestBed testBed, EndlessRequest request)
            throws Exception {
        long startedAtMs = System.nanoTime() / 1_000_000;
        try (Socket socket = testBed.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(bytes(request.start));
            while (true) {
                out.write(bytes(request.repeated));
                Thread.currentThread().join(Math.max(1, request.intervalMs));
            }
        } catch (IOException e) {
            return System.nanoTime() / 1_000_000 - startedAtMs;
        }
    }

    @ParameterizedTest
    @EnumSource
    void endlessRequestsOfManyCallersEndAtALimit(EndlessRequest request) throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(LIMITS, endpoint).withTrafficPlan()) {
            assertThat(status(testBed.call("POST", "/order/", "x"))).isEqualTo(200);
            List<Future<Long>> durations = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Callable<Long> call = () -> sendUntilClosed(testBed, request);
                durations.add(callers.submit(call));
            }
            for (Future<Long> durationMs : durations) {
                assertThat(testBed.reservedBytes()).isLessThanOrEqualTo(RelayTestBed.memoryBytes());
                assertThat(durationMs.get())
                        .isLessThan(LIMITS.headerTimeoutMs() + LIMITS.idleTimeoutMs() + OVERRUN_MS);
            }
            assertThat(status(testBed.call("POST", "/order/", "x"))).isEqualTo(200);
            assertThat(endpoint.received()).hasSize(2);
            assertThat(testBed.reservedBytes()).isZero();
        } finally {
            callers.shutdownNow();
        }
    }

    /** A request that found no memory is refused as not run, and none of the others is harmed. */
    @Test
    void largeRequestsBeyondTheMemoryAreRefusedAsNotRun() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        String body = "x".repeat(900_000);
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    Thread.currentThread().join(1_000);
                                    write(out, response(request, 200, SEAL, "ok"));
                                });
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            List<Future<String>> responses = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Callable<String> call = () -> testBed.call("POST", "/order/", body);
                responses.add(callers.submit(call));
            }
            int served = 0;
            for (Future<String> response : responses) {
                if (status(response.get()) == 200) {
                    served++;
                } else {
                    assertThat(response.get())
                            .startsWith("HTTP/1.1 503")
                            .contains("Retry-After")
                            .contains("no memory");
                }
            }
            assertThat(endpoint.received()).hasSize(served);
            assertThat(served).isBetween(1, CALLERS - 1);
            assertThat(testBed.reservedBytes()).isZero();
        } finally {
            callers.shutdownNow();
        }
    }

    /** Without its rest, the head of an order could lose the field that gives its body. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 1\r\n", "Content-Length: 1", "X: y\r"})
    void requestCutWithinItsHeadIsNotRun(String fields) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan();
                Socket socket = testBed.connect()) {
            socket.getOutputStream().write(bytes(HEAD + fields));
            socket.shutdownOutput();
            assertThat(socket.getInputStream().readAllBytes()).isEmpty();
            assertThat(endpoint.received()).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"5\r\nwhole\r\n0\r\n", "5\r\nwhole\r\n", "5\r\nwho"})
    void requestCutWithinItsChunkedBodyIsNotRun(String body) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan();
                Socket socket = testBed.connect()) {
            socket.getOutputStream()
                    .write(bytes(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + body));
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
            assertThat(endpoint.received()).isEmpty();
        }
    }

    /** When a caller sends its request, relative to the drain of a planned stop. */
    enum SentAt {
        ON_A_CONNECTION_OPENED_AFTER_THE_DRAIN,
        HALF_BEFORE_THE_DRAIN,
        DIRECTLY_BEFORE_THE_DRAIN,
        PIPELINED_BEFORE_THE_DRAIN
    }

    /**
     * A request that an endpoint still works on at the end of a planned stop must get a response
     * before the process ends, also one that may not be repeated. Its route allows 5 s.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/order/", "/read/"})
    void requestInProgressAtTheEndOfAPlannedStopGetsAResponse(String path) throws Exception {
        CountDownLatch tested = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint("e1", "z1", (request, socket, out) -> tested.await());
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            testBed.schedule(
                    200,
                    () -> {
                        testBed.drain();
                        testBed.endRequestsIn(300);
                        return null;
                    });
            long startedAtNanos = System.nanoTime();

            String response = testBed.call(RelayTestBed.request("POST", path, "", "body"));

            assertThat(response).startsWith("HTTP/1.1 504");
            assertThat(Duration.ofNanos(System.nanoTime() - startedAtNanos))
                    .isLessThan(Duration.ofMillis(STOPPED_REQUEST_LIMIT_MS));
            tested.countDown();
        }
    }

    @ParameterizedTest
    @EnumSource
    void requestAroundTheDrainOfAPlannedStopGetsAResponse(SentAt sentAt) throws Exception {
        for (int round = 0; round < 20; round++) {
            try (ScriptedEndpoint endpoint = endpoint();
                    RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
                String responses = callAroundDrain(testBed, sentAt);
                int expected = sentAt == SentAt.PIPELINED_BEFORE_THE_DRAIN ? 2 : 1;
                assertThat(responses.split("HTTP/1.1 200", -1))
                        .as("round %d: %s", round, responses)
                        .hasSizeGreaterThanOrEqualTo(2);
                assertThat(endpoint.received()).hasSizeLessThanOrEqualTo(expected);
                assertThat(responses.toLowerCase()).contains("connection: close");
            }
        }
    }

    private static String callAroundDrain(RelayTestBed testBed, SentAt sentAt) throws Exception {
        String request = RelayTestBed.request("POST", "/order/", "", "body");
        if (sentAt == SentAt.ON_A_CONNECTION_OPENED_AFTER_THE_DRAIN) {
            testBed.drain();
        }
        try (Socket socket = testBed.connect()) {
            OutputStream out = socket.getOutputStream();
            switch (sentAt) {
                case HALF_BEFORE_THE_DRAIN -> {
                    out.write(bytes(request.substring(0, 60)));
                    while (testBed.openConnections() == 0) {
                        Thread.onSpinWait();
                    }
                    testBed.drain();
                    out.write(bytes(request.substring(60)));
                }
                case DIRECTLY_BEFORE_THE_DRAIN -> {
                    while (testBed.openConnections() == 0) {
                        Thread.onSpinWait();
                    }
                    out.write(bytes(request));
                    testBed.drain();
                }
                case PIPELINED_BEFORE_THE_DRAIN -> {
                    out.write(bytes(request + request.replace("r1", "r2")));
                    testBed.drain();
                }
                default -> out.write(bytes(request));
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}

package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an endpoint that harms more than its own request: bytes without end that exhaust
 * the heap, bytes that trickle in and hold a thread past the deadline, late copies of responses
 * that reach another caller, and truncated responses that look complete. The tests use TCP
 * connections.
 */
@Timeout(60)
class MisbehavingEndpointTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";
    private static final String NOT_RUN = "Sapphire-Not-Run: 1\r\n";
    private static final int DEADLINE_MS = 800;
    private static final int OVERRUN_MS = 500;
    private static final int SICK_ENDPOINTS = 40;
    private static final String PADDING = "x".repeat(8_000);

    /** Bytes that never form a complete response. */
    enum EndlessBytes {
        HEADER_LINE("/order/", r -> "HTTP/1.1 200 OK\r\nX: ", PADDING, 0),
        HEADER_FIELDS("/order/", r -> "HTTP/1.1 200 OK\r\n", "X: y\r\n", 0),
        STATUS_LINE("/order/", r -> "HTTP/1.1 200 ", PADDING, 0),
        INTERIM_HEADS("/order/", r -> "", "HTTP/1.1 100 Continue\r\n\r\n", 0),
        CHUNK_EXTENSION("/order/", r -> chunkedHead(r) + "5;", PADDING, 0),
        CHUNKS("/order/", MisbehavingEndpointTests::chunkedHead, "1f40\r\n" + PADDING + "\r\n", 0),
        TRAILERS("/order/", r -> chunkedHead(r) + "0\r\n", "X: y\r\n", 0),
        BODY_WITHOUT_LENGTH("/order/", MisbehavingEndpointTests::head, PADDING, 0),
        OTHER_RESPONSES(
                "/order/",
                r -> "",
                "HTTP/1.1 200 OK\r\nSapphire-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
                0),
        EVENT("/stream/", r -> streamHeader(r, "s"), "1f40\r\n" + PADDING + "\r\n", 0),
        COMMENTS("/stream/", r -> streamHeader(r, "s"), "4\r\n: x\n\r\n", 0),
        SLOW_HEADER("/order/", r -> "HTTP/1.1 200 OK\r\nX: ", "x", 100),
        SLOW_FIELDS("/order/", r -> "HTTP/1.1 200 OK\r\n", "X: y\r\n", 100),
        SLOW_BODY("/order/", MisbehavingEndpointTests::head, "x", 20),
        SLOW_CHUNK_EXTENSION("/order/", r -> chunkedHead(r) + "5;", "x", 20),
        SLOW_COMMENTS("/stream/", r -> streamHeader(r, "s"), "4\r\n: x\n\r\n", 20);

        private final String path;
        private final Function<ScriptedEndpoint.Received, String> start;
        private final String repeated;
        private final int intervalMs;

        EndlessBytes(
                String path,
                Function<ScriptedEndpoint.Received, String> start,
                String repeated,
                int intervalMs) {
            this.path = path;
            this.start = start;
            this.repeated = repeated;
            this.intervalMs = intervalMs;
        }

        private ScriptedEndpoint endpoint(String id) throws IOException {
            return new ScriptedEndpoint(
                    id,
                    "z1",
                    (request, socket, out) -> {
                        write(out, start.apply(request));
                        while (true) {
                            write(out, repeated);
                            Thread.currentThread().join(intervalMs == 0 ? 1 : intervalMs);
                        }
                    });
        }
    }

    private static String head(ScriptedEndpoint.Received request) {
        return "HTTP/1.1 200 OK\r\nSapphire-Request-Id: "
                + request.headers().get("Sapphire-Request-Id")
                + "\r\n"
                + SEAL
                + "\r\n";
    }

    private static String chunkedHead(ScriptedEndpoint.Received request) {
        return head(request).replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static String deadlineRequest(String id, String path) {
        return RelayTestBed.request(
                id,
                "POST",
                path,
                "Connection: close\r\nSapphire-Deadline-Ms: " + DEADLINE_MS + "\r\n",
                "p");
    }

    private static int status(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @ParameterizedTest
    @EnumSource
    void endlessResponseEndsAtALimitOrAtTheDeadline(EndlessBytes bytes) throws Exception {
        try (ScriptedEndpoint sick = bytes.endpoint("e1");
                RelayTestBed testBed = new RelayTestBed(sick).withTrafficPlan()) {
            testBed.call(RelayTestBed.request("GET", "/none/", "Connection: close\r\n", ""));
            long startedAtMs = nowMs();
            String response = testBed.call(deadlineRequest("r1", bytes.path));
            assertThat(nowMs() - startedAtMs).isLessThan(DEADLINE_MS + OVERRUN_MS);
            assertThat(status(response)).isIn(502, 504);
            assertThat(testBed.reservedBytes()).isZero();
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"CHUNKS", "BODY_WITHOUT_LENGTH", "EVENT", "HEADER_FIELDS"})
    void manyEndlessResponsesShareTheMemoryAndOtherRequestsAreServed(EndlessBytes bytes)
            throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        try (ScriptedEndpoint healthy =
                        ScriptedEndpoint.responding(
                                "e2", "z2", request -> response(request, 200, SEAL, "ok"));
                ScriptedEndpoint sick = bytes.endpoint("e1");
                RelayTestBed sickBed = new RelayTestBed(sick).withTrafficPlan();
                RelayTestBed healthyBed = new RelayTestBed(healthy).withTrafficPlan()) {
            List<Future<String>> responses = new ArrayList<>();
            for (int i = 0; i < SICK_ENDPOINTS; i++) {
                String request = deadlineRequest("r" + i, bytes.path);
                Callable<String> call = () -> sickBed.call(request);
                responses.add(callers.submit(call));
            }
            for (Future<String> response : responses) {
                assertThat(sickBed.reservedBytes()).isLessThanOrEqualTo(RelayTestBed.memoryBytes());
                assertThat(status(healthyBed.call("POST", "/order/", "x"))).isEqualTo(200);
                assertThat(status(response.get())).isIn(502, 503, 504);
            }
            assertThat(sickBed.reservedBytes()).isZero();
        } finally {
            callers.shutdownNow();
        }
    }

    @Test
    void sendToAnEndpointThatDoesNotReadEndsAtTheDeadline() throws Exception {
        try (ScriptedEndpoint stuck = ScriptedEndpoint.notReading("e1");
                RelayTestBed testBed = new RelayTestBed(stuck).withTrafficPlan()) {
            String body = "x".repeat(4_000_000);
            long startedAtMs = nowMs();
            String response =
                    testBed.call(
                            RelayTestBed.request(
                                    "POST",
                                    "/order/",
                                    "Connection: close\r\nSapphire-Deadline-Ms: "
                                            + DEADLINE_MS
                                            + "\r\n",
                                    body));
            assertThat(nowMs() - startedAtMs).isLessThan(DEADLINE_MS + OVERRUN_MS);
            assertThat(status(response)).isIn(502, 504);
        }
    }

    /** Guards against a refusal as not run after a part of the request was sent. */
    @Test
    void streamWhoseSendBreaksOffIsNotReportedAsNotRun() throws Exception {
        try (ScriptedEndpoint stuck = ScriptedEndpoint.notReading("e1");
                RelayTestBed testBed = new RelayTestBed(stuck).withTrafficPlan()) {
            testBed.schedule(
                    1_500,
                    () -> {
                        stuck.close();
                        return null;
                    });
            String response = testBed.call("POST", "/stream/1", "x".repeat(4_000_000));
            assertThat(status(response)).isEqualTo(502);
        }
    }

    @Test
    void responseBehindInterimHeadsIsDelivered() throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1",
                                "z1",
                                request ->
                                        "HTTP/1.1 100 Continue\r\n\r\n"
                                                + "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
                                                + response(request, 200, SEAL, "mine"));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/order/", "x")).contains("200").endsWith("mine");
        }
    }

    @Test
    void slowStreamWithinTheAllowedPauseIsNotCut() throws Exception {
        int events = 8;
        try (ScriptedEndpoint slow =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(out, streamHeader(request, "s"));
                                    for (int number = 1; number <= events; number++) {
                                        Thread.currentThread().join(350);
                                        write(out, event(number));
                                    }
                                    write(out, "0\r\n\r\n");
                                });
                RelayTestBed testBed = new RelayTestBed(slow).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "p");
            assertThat(response).contains("data: e" + events).endsWith("0\r\n\r\n");
            assertThat(slow.received()).hasSize(1);
        }
    }

    @Test
    void streamThatSendsOnlyCommentsMovesToAnotherEndpoint() throws Exception {
        try (ScriptedEndpoint stalled =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(out, streamHeader(request, "s") + event(1));
                                    while (true) {
                                        write(out, "3\r\n:\n\n\r\n");
                                        Thread.currentThread().join(20);
                                    }
                                });
                ScriptedEndpoint standby =
                        ScriptedEndpoint.responding(
                                "e2",
                                "z2",
                                request -> streamHeader(request, "s2") + event(2) + "0\r\n\r\n");
                RelayTestBed testBed = new RelayTestBed(stalled, standby).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "p");
            assertThat(response).contains("data: e1").contains("data: e2").endsWith("0\r\n\r\n");
        }
    }

    @Test
    void commentsArePassedOnWithTheNextEventAndAtTheEnd() throws Exception {
        String body = ": one\n\nid: 1\ndata: e1\n\n: two\n\n";
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1", "z1", request -> response(request, 200, SEAL, body));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "p");
            String delivered = response.substring(response.indexOf("\r\n\r\n") + 4);
            assertThat(delivered.replaceAll("[0-9a-f]+\r\n|\r\n", "")).isEqualTo(body);
        }
    }

    /** Ways in which an endpoint frames a response that it then breaks off. */
    enum Framing {
        LENGTH,
        CHUNKED;

        private String response(ScriptedEndpoint.Received request) {
            return this == LENGTH
                    ? ScriptedEndpoint.response(request, 200, SEAL, "whole body")
                    : chunkedHead(request) + "5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n";
        }
    }

    @ParameterizedTest
    @EnumSource
    void responseCutAtAnyByteIsNeverASuccess(Framing framing) throws Exception {
        AtomicInteger length = new AtomicInteger();
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(
                                            out,
                                            framing.response(request).substring(0, length.get()));
                                    throw new IOException("connection closed");
                                });
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            int whole =
                    framing.response(
                                    new ScriptedEndpoint.Received(
                                            "", Map.of("Sapphire-Request-Id", "r1"), ""))
                            .length();
            for (int cut = 0; cut < whole; cut++) {
                length.set(cut);
                assertThat(status(testBed.call("POST", "/order/", "x")))
                        .as("cut after %d bytes", cut)
                        .isEqualTo(502);
            }
        }
    }

    /** Second response that an endpoint sends to one request, and when. */
    enum ExtraResponse {
        SUCCESS_WITH_ID,
        FAILURE_WITH_ID,
        REFUSAL_WITH_ID,
        FAILURE_WITHOUT_ID,
        REFUSAL_WITHOUT_ID;

        private String response(ScriptedEndpoint.Received request) {
            return switch (this) {
                case SUCCESS_WITH_ID -> ScriptedEndpoint.response(request, 200, SEAL, "copy");
                case FAILURE_WITH_ID -> ScriptedEndpoint.response(request, 500, SEAL, "copy");
                case REFUSAL_WITH_ID -> ScriptedEndpoint.response(request, 503, NOT_RUN, "copy");
                case FAILURE_WITHOUT_ID -> "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\ncopy";
                case REFUSAL_WITHOUT_ID ->
                        "HTTP/1.1 503 X\r\n" + NOT_RUN + "Content-Length: 4\r\n\r\ncopy";
            };
        }
    }

    @ParameterizedTest
    @EnumSource
    void extraResponseNeverReachesTheNextRequest(ExtraResponse extra) throws Exception {
        for (int delayMs : new int[] {0, 20}) {
            try (ScriptedEndpoint endpoint =
                            new ScriptedEndpoint(
                                    "e1",
                                    "z1",
                                    (request, socket, out) -> {
                                        boolean first = request.body().equals("first");
                                        String own = response(request, 200, SEAL, request.body());
                                        if (first && delayMs == 0) {
                                            write(out, own + extra.response(request));
                                        } else if (first) {
                                            write(out, own);
                                            Thread.currentThread().join(delayMs);
                                            write(out, extra.response(request));
                                        } else {
                                            write(out, own);
                                        }
                                    });
                    RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
                String first =
                        testBed.call(
                                RelayTestBed.request(
                                        "r1", "POST", "/order/", "Connection: close\r\n", "first"));
                assertThat(first).endsWith("first");
                String second =
                        testBed.call(
                                RelayTestBed.request(
                                        "r2",
                                        "POST",
                                        "/order/",
                                        "Connection: close\r\n",
                                        "second"));
                assertThat(second).doesNotContain("copy");
                boolean outcomeKnown = status(second) == 200;
                assertThat(outcomeKnown || status(second) == 502).as(second).isTrue();
                assertThat(delayMs > 0 || outcomeKnown).as(second).isTrue();
            }
        }
    }

    /**
     * A refusal that is sent twice must not answer the next attempt of the same request, which
     * runs.
     */
    @Test
    void secondCopyOfARefusalDoesNotAnswerTheNextAttempt() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    String refusal = response(request, 503, NOT_RUN, "");
                                    if (runs.getAndIncrement() == 0) {
                                        write(out, refusal);
                                        Thread.currentThread().join(30);
                                        write(out, refusal);
                                    } else {
                                        write(out, response(request, 200, SEAL, "ran"));
                                    }
                                });
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/order/", "x")).endsWith("ran");
        }
    }

    /** Only the mark of the endpoint proves that a request did not run. */
    @ParameterizedTest
    @CsvSource({"/order/, 503", "/order/, 429", "/order/, 408", "/stream/, 503", "/stream/, 429"})
    void refusalWithoutTheMarkIsNotPassedOnAsNotRun(String path, int refusal) throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1", "z1", request -> response(request, refusal, SEAL, "ran"));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response = testBed.call("POST", path, "x");
            assertThat(status(response)).isEqualTo(502);
            assertThat(response).doesNotContain("Sapphire-Seal");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 2\r\nContent-Length: 4\r\n",
                "Content-Length: -2\r\n",
                "Transfer-Encoding: gzip, chunked\r\n"
            })
    void responseOfAmbiguousLengthIsRejected(String fields) throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1",
                                "z1",
                                request ->
                                        head(request).replace("\r\n\r\n", "\r\n" + fields + "\r\n")
                                                + "2\r\nok\r\n0\r\n\r\n");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(status(testBed.call("POST", "/order/", "x"))).isEqualTo(502);
        }
    }

    @Test
    void responseToHeadEndsWithItsHead() throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1",
                                "z1",
                                request ->
                                        head(request)
                                                .replace(
                                                        "\r\n\r\n",
                                                        "\r\nContent-Length: 9\r\n\r\n"));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            long startedAtMs = nowMs();
            String response =
                    testBed.call(
                            RelayTestBed.request("HEAD", "/read/", "Connection: close\r\n", ""));
            assertThat(status(response)).isEqualTo(200);
            assertThat(nowMs() - startedAtMs).isLessThan(2_000);
        }
    }
}

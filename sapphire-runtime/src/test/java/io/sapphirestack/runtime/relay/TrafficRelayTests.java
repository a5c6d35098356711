package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.ByteBudget;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a relay that breaks its guarantees to callers when endpoints fail, refuse or send
 * invalid responses: no non-idempotent request runs twice, no stream loses or duplicates events,
 * and a truncated stream does not look complete. The tests use TCP connections.
 */
@Timeout(30)
class TrafficRelayTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";

    private static ScriptedEndpoint respondingEndpoint(String id, String text) throws IOException {
        return ScriptedEndpoint.responding(id, "z1", request -> response(request, 200, SEAL, text));
    }

    private static ScriptedEndpoint closingEndpoint(String id) throws IOException {
        return new ScriptedEndpoint(
                id,
                "z1",
                (request, socket, out) -> {
                    throw new IOException("connection closed");
                });
    }

    /** Creates an endpoint that sends events and completes the response. */
    private static ScriptedEndpoint streamingEndpoint(
            String id, String zone, String seal, long... numbers) throws IOException {
        return ScriptedEndpoint.responding(
                id, zone, request -> streamHeader(request, seal) + events(numbers) + "0\r\n\r\n");
    }

    private static String events(long... numbers) {
        return Arrays.stream(numbers)
                .mapToObj(ScriptedEndpoint::event)
                .collect(Collectors.joining());
    }

    /** Creates an endpoint that closes the connection after some events. */
    private static ScriptedEndpoint closingEndpointAfter(
            String id, String zone, String seal, long... numbers) throws IOException {
        return new ScriptedEndpoint(
                id,
                zone,
                (request, socket, out) -> {
                    write(out, streamHeader(request, seal) + events(numbers));
                    throw new IOException("connection closed");
                });
    }

    private static int status(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    @Test
    void requestIsForwardedUnchangedWithTheAccountInPlaceOfTheKey() throws Exception {
        try (ScriptedEndpoint endpoint = respondingEndpoint("e1", "hello");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response =
                    testBed.call(
                            RelayTestBed.request(
                                    "POST",
                                    "/order/1?a=b",
                                    "Connection: close\r\nX-Own: v\r\nSapphire-Account: forged\r\n"
                                            + "Sapphire-Resume-From: forged\r\n",
                                    "body"));
            assertThat(response).startsWith("HTTP/1.1 200").contains("Sapphire-Seal: s");
            assertThat(response).endsWith("\r\n\r\nhello");
            ScriptedEndpoint.Received received = endpoint.received().get(0);
            assertThat(received.line()).isEqualTo("POST /order/1?a=b HTTP/1.1");
            assertThat(received.body()).isEqualTo("body");
            assertThat(received.headers())
                    .containsEntry("X-Own", "v")
                    .containsEntry("Sapphire-Account", "shop")
                    .containsEntry("Sapphire-Endpoint", "e1")
                    .doesNotContainKeys("Sapphire-Key", "Sapphire-Resume-From");
            assertThat(Long.parseLong(received.headers().get("Sapphire-Deadline-Ms")))
                    .isBetween(1L, 5_000L);
        }
    }

    @ParameterizedTest
    @CsvSource({"/read/, 200, 2", "/order/, 502, 1"})
    void onlyIdempotentRequestIsRetriedAfterAConnectionFailure(
            String path, int status, int attempts) throws Exception {
        try (ScriptedEndpoint first = closingEndpoint("e1");
                ScriptedEndpoint second = respondingEndpoint("e2", "ok");
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            String response = testBed.call("POST", path, "x");
            assertThat(status(response)).isEqualTo(status);
            assertThat(first.received().size() + second.received().size()).isEqualTo(attempts);
        }
    }

    @Test
    void requestThatAllEndpointsRefuseIsRefusedAsNotRun() throws Exception {
        ScriptedEndpoint.Script refuse =
                (request, socket, out) ->
                        write(out, response(request, 503, "Sapphire-Not-Run: 1\r\n", ""));
        try (ScriptedEndpoint first = new ScriptedEndpoint("e1", "z1", refuse);
                ScriptedEndpoint second = new ScriptedEndpoint("e2", "z1", refuse);
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            String response = testBed.call("POST", "/order/", "x");
            assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After: 0.");
            assertThat(first.received()).hasSize(1);
            assertThat(second.received()).hasSize(1);
        }
    }

    @Test
    void successWithoutASealIsRejected() throws Exception {
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) ->
                                        write(out, response(request, 200, "", "forged")));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response = testBed.call("POST", "/order/", "x");
            assertThat(response).startsWith("HTTP/1.1 502").doesNotContain("forged");
        }
    }

    @Test
    void lateResponseToAnotherRequestIsDiscarded() throws Exception {
        ScriptedEndpoint.Received otherRequest =
                new ScriptedEndpoint.Received("", Map.of("Sapphire-Request-Id", "r0"), "");
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) ->
                                        write(
                                                out,
                                                response(otherRequest, 200, SEAL, "theirs")
                                                        + response(request, 200, SEAL, "mine")));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/order/", "x")).endsWith("mine");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Content-Length: +4\r\n",
                "Transfer-Encoding: chunked;q=1\r\n",
                "Transfer-Encoding: ,\r\n",
                "Host: other\r\n"
            })
    void ambiguousRequestIsRejectedAndItsRestIsNotParsedAsARequest(String fields) throws Exception {
        try (ScriptedEndpoint endpoint = respondingEndpoint("e1", "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String smuggled = RelayTestBed.request("POST", "/order/", "", "");
            String response =
                    testBed.call(
                            RelayTestBed.request("POST", "/order/", fields, "")
                                    + "0\r\n\r\n"
                                    + smuggled);
            assertThat(status(response)).isIn(400, 501);
            assertThat(endpoint.received()).isEmpty();
        }
    }

    /** The framing of such a request is faulty (RFC 9112, section 6.1). */
    @Test
    void transferCodingOfHttp10IsRejected() throws Exception {
        try (ScriptedEndpoint endpoint = respondingEndpoint("e1", "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String request =
                    RelayTestBed.request("POST", "/order/", "Transfer-Encoding: chunked\r\n", "");
            String response = testBed.call(request.replace("HTTP/1.1", "HTTP/1.0") + "0\r\n\r\n");
            assertThat(status(response)).isEqualTo(400);
            assertThat(endpoint.received()).isEmpty();
        }
    }

    /** Responses that the callers of one account do not read would take the memory of all. */
    @Test
    void requestOfAnAccountThatHoldsItsPartOfTheMemoryIsRefusedAsNotRun() throws Exception {
        try (ScriptedEndpoint endpoint = respondingEndpoint("e1", "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            long partBytes = (long) (RelayTestBed.memoryBytes() * RelayTestBed.ACCOUNT_FRACTION);
            try (ByteBudget.Lease unread = testBed.memory().newLease()) {
                assertThat(unread.assignTo("shop")).isTrue();
                assertThat(unread.tryReserve(partBytes)).isTrue();
                String refusal = testBed.call("GET", "/read/1", "");
                assertThat(status(refusal)).isEqualTo(503);
                assertThat(refusal).contains("Retry-After").contains("account");
                assertThat(endpoint.received()).isEmpty();
            }
            assertThat(status(testBed.call("GET", "/read/1", ""))).isEqualTo(200);
            assertThat(testBed.reservedBytes()).isZero();
        }
    }

    @ParameterizedTest
    @CsvSource({"/none/, k1, 404", "/read/, wrong, 401"})
    void unknownRouteOrKeyIsRefused(String path, String key, int status) throws Exception {
        try (ScriptedEndpoint endpoint = respondingEndpoint("e1", "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String request =
                    "GET "
                            + path
                            + " HTTP/1.1\r\nHost: h\r\nSapphire-Key: "
                            + key
                            + "\r\nConnection: close\r\n\r\n";
            assertThat(status(testBed.call(request))).isEqualTo(status);
            assertThat(endpoint.received()).isEmpty();
        }
    }

    /**
     * Guards against requests that ran with any key once the last account was removed (review/13).
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "Sapphire-Key: k1\r\n", "Sapphire-Key: k2\r\n"})
    void noKeyIsKnownWhenThePlanHasNoAccountsLeft(String keyField) throws Exception {
        try (ScriptedEndpoint endpoint = respondingEndpoint("e1", "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withAccounts()) {
            String response =
                    testBed.call(
                            "GET /read/1 HTTP/1.1\r\nHost: h\r\nSapphire-Request-Id: r1\r\n"
                                    + "Connection: close\r\n"
                                    + keyField
                                    + "\r\n");
            assertThat(status(response)).isEqualTo(401);
            assertThat(endpoint.received()).isEmpty();
        }
    }

    @Test
    void instanceWithoutAPlanRefusesRequestsAsNotRun() throws Exception {
        try (RelayTestBed testBed = new RelayTestBed()) {
            String response = testBed.call("GET", "/read/", "");
            assertThat(response)
                    .startsWith("HTTP/1.1 503")
                    .contains("Retry-After")
                    .contains("no traffic plan");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/order/", "/stream/"})
    void requestWaitsUntilAStartedInstanceKnowsThePlanAndTheEndpoints(String path)
            throws Exception {
        try (ScriptedEndpoint endpoint = streamingEndpoint("e1", "z1", "s", 1);
                RelayTestBed testBed = new RelayTestBed(endpoint).withoutEndpoints()) {
            testBed.schedule(100, testBed::withTrafficPlan);
            testBed.schedule(200, testBed::withEndpoints);
            String fields = "Connection: close\r\nSapphire-Deadline-Ms: 9000\r\n";
            String response = testBed.call(RelayTestBed.request("POST", path, fields, "p"));
            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(dataOf(response)).isEqualTo("e1");
            assertThat(endpoint.received()).hasSize(1);
        }
    }

    @Test
    void waitingRequestIsRefusedAsNotRunWhenTheInstanceStops() throws Exception {
        try (RelayTestBed testBed = new RelayTestBed()) {
            testBed.schedule(
                    100,
                    () -> {
                        testBed.relay().refuse();
                        return null;
                    });
            String fields = "Connection: close\r\nSapphire-Deadline-Ms: 20000\r\n";
            long beforeMs = System.nanoTime() / 1_000_000;
            String response = testBed.call(RelayTestBed.request("POST", "/order/", fields, "p"));
            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(System.nanoTime() / 1_000_000 - beforeMs).isLessThan(1_500);
        }
    }

    @Test
    void streamContinuesFromTheStandbyCopyWithinTheSameResponse() throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    String partialEvent = event(3);
                                    write(
                                            out,
                                            streamHeader(request, "first")
                                                    + event(1)
                                                    + event(2)
                                                    + partialEvent.substring(
                                                            0, partialEvent.length() - 4));
                                    throw new IOException("connection closed within an event");
                                });
                ScriptedEndpoint second = streamingEndpoint("e2", "z2", "second", 3, 4);
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "p");
            assertThat(response).contains("Sapphire-Seal: first").doesNotContain("second");
            assertThat(response.replaceAll("(?s)[^e0-9]*data: (e[0-9])", "$1"))
                    .contains("e1")
                    .containsOnlyOnce("e3");
            assertThat(dataOf(response)).isEqualTo("e1e2e3e4");
            assertThat(response).endsWith("0\r\n\r\n");
            Map<String, String> resumed = second.received().get(0).headers();
            String address = second.state().address();
            assertThat(first.received().get(0).headers())
                    .containsEntry("Sapphire-Standby", address);
            assertThat(resumed)
                    .containsEntry("Sapphire-Resume-From", address + "/r1")
                    .containsEntry("Last-Event-ID", "2");
        }
    }

    /** An order for a copy that cannot exist yet would use up an attempt and a retry. */
    @Test
    void streamLostBeforeItsFirstEventGoesToAnotherEndpointWithoutAskingForACopy()
            throws Exception {
        try (ScriptedEndpoint first = closingEndpointAfter("e1", "z1", "first");
                ScriptedEndpoint second = streamingEndpoint("e2", "z2", "second", 1);
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            assertThat(dataOf(testBed.call("POST", "/stream/", "p"))).isEqualTo("e1");
            assertThat(second.received()).hasSize(1);
            assertThat(second.received().get(0).headers())
                    .doesNotContainKey("Sapphire-Resume-From")
                    .doesNotContainKey("Last-Event-ID");
        }
    }

    private static String dataOf(String response) {
        StringBuilder data = new StringBuilder();
        for (String line : response.split("\n")) {
            if (line.startsWith("data: ")) {
                data.append(line.substring("data: ".length()).trim());
            }
        }
        return data.toString();
    }

    @Test
    void streamIsRecomputedWhenTheStandbyCopyIsMissing() throws Exception {
        try (ScriptedEndpoint first = closingEndpointAfter("e1", "z1", "first", 1);
                ScriptedEndpoint second =
                        new ScriptedEndpoint(
                                "e2",
                                "z2",
                                (request, socket, out) -> {
                                    if (request.headers().containsKey("Sapphire-Resume-From")) {
                                        write(
                                                out,
                                                response(
                                                        request,
                                                        503,
                                                        "Sapphire-Not-Run: 1\r\n",
                                                        ""));
                                    } else {
                                        write(
                                                out,
                                                streamHeader(request, "second")
                                                        + event(2)
                                                        + "0\r\n\r\n");
                                    }
                                });
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "p");
            assertThat(dataOf(response)).isEqualTo("e1e2");
            assertThat(response).endsWith("0\r\n\r\n");
        }
    }

    @Test
    void streamWithoutDataMovesToAnotherEndpoint() throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(out, streamHeader(request, "first") + event(1));
                                    Thread.currentThread().join(20_000);
                                });
                ScriptedEndpoint second = streamingEndpoint("e2", "z2", "second", 2);
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            assertThat(dataOf(testBed.call("POST", "/stream/", "p"))).isEqualTo("e1e2");
        }
    }

    @Test
    void streamThatNoEndpointContinuesIsTruncated() throws Exception {
        try (ScriptedEndpoint only =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    if (!request.headers().containsKey("Last-Event-ID")) {
                                        write(out, streamHeader(request, "first") + event(1));
                                    }
                                    throw new IOException("connection closed");
                                });
                RelayTestBed testBed = new RelayTestBed(only).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "p");
            assertThat(dataOf(response)).isEqualTo("e1");
            assertThat(response).doesNotEndWith("0\r\n\r\n");
        }
    }

    @Test
    void streamEndsAtItsDeadlineAlthoughEventsStillArrive() throws Exception {
        try (ScriptedEndpoint only =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(out, streamHeader(request, "first"));
                                    for (long number = 1; ; number++) {
                                        write(out, event(number));
                                        Thread.currentThread().join(10);
                                    }
                                });
                RelayTestBed testBed = new RelayTestBed(only).withTrafficPlan()) {
            String response =
                    testBed.call(
                            RelayTestBed.request(
                                    "POST",
                                    "/stream/",
                                    "Connection: close\r\nSapphire-Deadline-Ms: 400\r\n",
                                    "p"));
            assertThat(dataOf(response)).startsWith("e1e2e3");
            assertThat(response).doesNotEndWith("0\r\n\r\n");
        }
    }

    @Test
    void closedCallerConnectionClosesTheConnectionToTheEndpoint() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    started.countDown();
                                    try {
                                        // Blocks until the relay closes the connection.
                                        socket.getInputStream().read();
                                    } finally {
                                        ended.countDown();
                                    }
                                    throw new IOException("the relay closed the connection");
                                });
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            try (Socket caller = testBed.connect()) {
                caller.getOutputStream()
                        .write(
                                RelayTestBed.request("POST", "/read/", "", "x")
                                        .getBytes(StandardCharsets.ISO_8859_1));
                assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
            }
            assertThat(ended.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }
}

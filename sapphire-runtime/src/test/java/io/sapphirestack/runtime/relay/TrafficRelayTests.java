package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.answer;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

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

/** Guards the promises of the relay towards callers, over real connections. */
@Timeout(30)
class TrafficRelayTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";

    private static ScriptedEndpoint answering(String id, String text) throws IOException {
        return new ScriptedEndpoint(
                id, "z1", (request, socket, out) -> write(out, answer(request, 200, SEAL, text)));
    }

    private static ScriptedEndpoint breaking(String id) throws IOException {
        return new ScriptedEndpoint(
                id,
                "z1",
                (request, socket, out) -> {
                    throw new IOException("breaks off");
                });
    }

    /** Creates an endpoint that sends events and ends its answer. */
    private static ScriptedEndpoint streaming(String id, String zone, String seal, long... numbers)
            throws IOException {
        return new ScriptedEndpoint(
                id,
                zone,
                (request, socket, out) ->
                        write(out, streamHeader(request, seal) + events(numbers) + "0\r\n\r\n"));
    }

    private static String events(long... numbers) {
        return Arrays.stream(numbers)
                .mapToObj(ScriptedEndpoint::event)
                .collect(Collectors.joining());
    }

    /** Creates an endpoint that breaks off after some events. */
    private static ScriptedEndpoint breakingAfter(
            String id, String zone, String seal, long... numbers) throws IOException {
        return new ScriptedEndpoint(
                id,
                zone,
                (request, socket, out) -> {
                    write(out, streamHeader(request, seal) + events(numbers));
                    throw new IOException("breaks off");
                });
    }

    private static int status(String answer) {
        return Integer.parseInt(answer.substring(9, 12));
    }

    @Test
    void requestIsPassedOnUnchangedWithTheAccountInPlaceOfTheKey() throws Exception {
        try (ScriptedEndpoint endpoint = answering("e1", "hello");
                RelayWorld world = new RelayWorld(endpoint).withPlan()) {
            String answer =
                    world.call(
                            RelayWorld.request(
                                    "POST",
                                    "/order/1?a=b",
                                    "Connection: close\r\nX-Own: v\r\nSapphire-Account: forged\r\n"
                                            + "Sapphire-Resume-From: forged\r\n",
                                    "body"));
            assertThat(answer).startsWith("HTTP/1.1 200").contains("Sapphire-Seal: s");
            assertThat(answer).endsWith("\r\n\r\nhello");
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
    void onlyWhatMayRunAgainIsRepeatedAfterALoss(String path, int status, int sends)
            throws Exception {
        try (ScriptedEndpoint first = breaking("e1");
                ScriptedEndpoint second = answering("e2", "ok");
                RelayWorld world = new RelayWorld(first, second).withPlan()) {
            String answer = world.call("POST", path, "x");
            assertThat(status(answer)).isEqualTo(status);
            assertThat(first.received().size() + second.received().size()).isEqualTo(sends);
        }
    }

    @Test
    void orderThatNoEndpointRanIsRefusedAsNotRun() throws Exception {
        ScriptedEndpoint.Script full =
                (request, socket, out) ->
                        write(out, answer(request, 503, "Sapphire-Not-Run: 1\r\n", ""));
        try (ScriptedEndpoint first = new ScriptedEndpoint("e1", "z1", full);
                ScriptedEndpoint second = new ScriptedEndpoint("e2", "z1", full);
                RelayWorld world = new RelayWorld(first, second).withPlan()) {
            String answer = world.call("POST", "/order/", "x");
            assertThat(answer).startsWith("HTTP/1.1 503").contains("Retry-After: 0.");
            assertThat(first.received()).hasSize(1);
            assertThat(second.received()).hasSize(1);
        }
    }

    @Test
    void successWithoutASealIsNoAnswer() throws Exception {
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) ->
                                        write(out, answer(request, 200, "", "forged")));
                RelayWorld world = new RelayWorld(endpoint).withPlan()) {
            String answer = world.call("POST", "/order/", "x");
            assertThat(answer).startsWith("HTTP/1.1 502").doesNotContain("forged");
        }
    }

    @Test
    void lateAnswerToAnotherRequestIsDropped() throws Exception {
        ScriptedEndpoint.Received other =
                new ScriptedEndpoint.Received("", Map.of("Sapphire-Request-Id", "r0"), "");
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) ->
                                        write(
                                                out,
                                                answer(other, 200, SEAL, "theirs")
                                                        + answer(request, 200, SEAL, "mine")));
                RelayWorld world = new RelayWorld(endpoint).withPlan()) {
            assertThat(world.call("POST", "/order/", "x")).endsWith("mine");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Content-Length: +4\r\n",
                "Host: other\r\n"
            })
    void ambiguousRequestIsRefusedAndItsRestIsNoRequest(String fields) throws Exception {
        try (ScriptedEndpoint endpoint = answering("e1", "ok");
                RelayWorld world = new RelayWorld(endpoint).withPlan()) {
            String smuggled = RelayWorld.request("POST", "/order/", "", "");
            String answer =
                    world.call(
                            RelayWorld.request("POST", "/order/", fields, "")
                                    + "0\r\n\r\n"
                                    + smuggled);
            assertThat(status(answer)).isIn(400, 501);
            assertThat(endpoint.received()).isEmpty();
        }
    }

    @ParameterizedTest
    @CsvSource({"/none/, k1, 404", "/read/, wrong, 401"})
    void unknownRouteAndKeyAreRefused(String path, String key, int status) throws Exception {
        try (ScriptedEndpoint endpoint = answering("e1", "ok");
                RelayWorld world = new RelayWorld(endpoint).withPlan()) {
            String request =
                    "GET "
                            + path
                            + " HTTP/1.1\r\nHost: h\r\nSapphire-Key: "
                            + key
                            + "\r\nConnection: close\r\n\r\n";
            assertThat(status(world.call(request))).isEqualTo(status);
            assertThat(endpoint.received()).isEmpty();
        }
    }

    @Test
    void instanceWithoutAPlanSaysThatNothingRan() throws Exception {
        try (RelayWorld world = new RelayWorld()) {
            String answer = world.call("GET", "/read/", "");
            assertThat(answer)
                    .startsWith("HTTP/1.1 503")
                    .contains("Retry-After")
                    .contains("no traffic plan");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/order/", "/stream/"})
    void requestWaitsForThePlanAndTheEndpointsOfAStartedInstance(String path) throws Exception {
        try (ScriptedEndpoint endpoint = streaming("e1", "z1", "s", 1);
                RelayWorld world = new RelayWorld(endpoint).withoutEndpoints()) {
            world.later(100, world::withPlan);
            world.later(200, world::withEndpoints);
            String fields = "Connection: close\r\nSapphire-Deadline-Ms: 9000\r\n";
            String answer = world.call(RelayWorld.request("POST", path, fields, "p"));
            assertThat(answer).startsWith("HTTP/1.1 200");
            assertThat(dataOf(answer)).isEqualTo("e1");
            assertThat(endpoint.received()).hasSize(1);
        }
    }

    @Test
    void instanceThatStopsWhileARequestWaitsSaysThatNothingRan() throws Exception {
        try (RelayWorld world = new RelayWorld()) {
            world.later(
                    100,
                    () -> {
                        world.relay().refuse();
                        return null;
                    });
            String fields = "Connection: close\r\nSapphire-Deadline-Ms: 20000\r\n";
            long beforeMs = System.nanoTime() / 1_000_000;
            String answer = world.call(RelayWorld.request("POST", "/order/", fields, "p"));
            assertThat(answer).startsWith("HTTP/1.1 503");
            assertThat(System.nanoTime() / 1_000_000 - beforeMs).isLessThan(1_500);
        }
    }

    @Test
    void streamContinuesFromItsCopyWithinTheSameAnswer() throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    String cut = event(3);
                                    write(
                                            out,
                                            streamHeader(request, "first")
                                                    + event(1)
                                                    + event(2)
                                                    + cut.substring(0, cut.length() - 4));
                                    throw new IOException("breaks off within an event");
                                });
                ScriptedEndpoint second = streaming("e2", "z2", "second", 3, 4);
                RelayWorld world = new RelayWorld(first, second).withPlan()) {
            String answer = world.call("POST", "/stream/", "p");
            assertThat(answer).contains("Sapphire-Seal: first").doesNotContain("second");
            assertThat(answer.replaceAll("(?s)[^e0-9]*data: (e[0-9])", "$1"))
                    .contains("e1")
                    .containsOnlyOnce("e3");
            assertThat(dataOf(answer)).isEqualTo("e1e2e3e4");
            assertThat(answer).endsWith("0\r\n\r\n");
            Map<String, String> resumed = second.received().get(0).headers();
            String address = second.state().address();
            assertThat(first.received().get(0).headers())
                    .containsEntry("Sapphire-Standby", address);
            assertThat(resumed)
                    .containsEntry("Sapphire-Resume-From", address + "/r1")
                    .containsEntry("Last-Event-ID", "2");
        }
    }

    private static String dataOf(String answer) {
        StringBuilder data = new StringBuilder();
        for (String line : answer.split("\n")) {
            if (line.startsWith("data: ")) {
                data.append(line.substring("data: ".length()).trim());
            }
        }
        return data.toString();
    }

    @Test
    void streamIsReadAgainWhereItsCopyIsMissing() throws Exception {
        try (ScriptedEndpoint first = breakingAfter("e1", "z1", "first", 1);
                ScriptedEndpoint second =
                        new ScriptedEndpoint(
                                "e2",
                                "z2",
                                (request, socket, out) -> {
                                    if (request.headers().containsKey("Sapphire-Resume-From")) {
                                        write(
                                                out,
                                                answer(
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
                RelayWorld world = new RelayWorld(first, second).withPlan()) {
            String answer = world.call("POST", "/stream/", "p");
            assertThat(dataOf(answer)).isEqualTo("e1e2");
            assertThat(answer).endsWith("0\r\n\r\n");
        }
    }

    @Test
    void silentStreamMovesWithinTheAllowedPause() throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(out, streamHeader(request, "first") + event(1));
                                    Thread.currentThread().join(20_000);
                                });
                ScriptedEndpoint second = streaming("e2", "z2", "second", 2);
                RelayWorld world = new RelayWorld(first, second).withPlan()) {
            assertThat(dataOf(world.call("POST", "/stream/", "p"))).isEqualTo("e1e2");
        }
    }

    @Test
    void streamThatNobodyContinuesDoesNotLookComplete() throws Exception {
        try (ScriptedEndpoint only =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    if (!request.headers().containsKey("Last-Event-ID")) {
                                        write(out, streamHeader(request, "first") + event(1));
                                    }
                                    throw new IOException("breaks off");
                                });
                RelayWorld world = new RelayWorld(only).withPlan()) {
            String answer = world.call("POST", "/stream/", "p");
            assertThat(dataOf(answer)).isEqualTo("e1");
            assertThat(answer).doesNotEndWith("0\r\n\r\n");
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
                RelayWorld world = new RelayWorld(only).withPlan()) {
            String answer =
                    world.call(
                            RelayWorld.request(
                                    "POST",
                                    "/stream/",
                                    "Connection: close\r\nSapphire-Deadline-Ms: 400\r\n",
                                    "p"));
            assertThat(dataOf(answer)).startsWith("e1e2e3");
            assertThat(answer).doesNotEndWith("0\r\n\r\n");
        }
    }

    @Test
    void callerThatLeavesEndsTheWorkOfTheEndpoint() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    started.countDown();
                                    try {
                                        // Returns or fails only when the relay closes.
                                        socket.getInputStream().read();
                                    } finally {
                                        ended.countDown();
                                    }
                                    throw new IOException("the relay has left");
                                });
                RelayWorld world = new RelayWorld(endpoint).withPlan()) {
            try (Socket caller = world.connect()) {
                caller.getOutputStream()
                        .write(
                                RelayWorld.request("POST", "/read/", "", "x")
                                        .getBytes(StandardCharsets.ISO_8859_1));
                assertThat(started.await(5, TimeUnit.SECONDS)).isTrue();
            }
            assertThat(ended.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }
}

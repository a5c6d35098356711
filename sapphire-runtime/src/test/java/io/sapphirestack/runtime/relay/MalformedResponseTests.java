package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.runtime.connection.ResponseShapes;
import io.sapphirestack.runtime.connection.ResponseShapes.Shape;
import io.sapphirestack.runtime.connection.SoundResponseShapes;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses of endpoints that are no HTTP and reach callers all the same (issue 47,
 * MIXED): a spoilt length, a line that is no field, a field name with a blank or a control octet, a
 * line that is joined to the one before it. The tests use TCP connections.
 */
@Timeout(60)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MalformedResponseTests {

    private static final String[] PATHS = {"/order/", "/read/", "/stream/"};
    private static final String TELLTALE = "X-Telltale";
    private static final long CLOSE_TIMEOUT_MS = 5_000;

    /** Says that the request did not run, and what else a relay obeys. */
    private static final String REFUSAL =
            "HTTP/1.1 503 X\r\n"
                    + "Sapphire-Not-Run: 1\r\nRetry-After: 20\r\nSapphire-Rate-Limit: 1\r\n"
                    + "Sapphire-Load: 1,1,1\r\nSapphire-Leaving: 1\r\n";

    private final AtomicReference<Shape> shape = new AtomicReference<>();
    private final AtomicReference<CountDownLatch> closed = new AtomicReference<>();
    private ScriptedEndpoint sharedEndpoint;
    private RelayTestBed sharedRelay;

    @BeforeAll
    void start() throws Exception {
        sharedEndpoint = endpoint(shape::get, closed::get);
        sharedRelay = new RelayTestBed(sharedEndpoint).withTrafficPlan();
    }

    @AfterAll
    void stop() throws Exception {
        sharedRelay.close();
        sharedEndpoint.close();
    }

    /** Returns the response to a request whose endpoint sends a shape. */
    private String call(String path, Shape next) throws Exception {
        shape.set(next);
        closed.set(new CountDownLatch(1));
        return sharedRelay.call("POST", path, "x");
    }

    private static Stream<Arguments> onEachPath(Stream<Shape> shapes) {
        return shapes.flatMap(shape -> Stream.of(PATHS).map(path -> Arguments.of(path, shape)));
    }

    static Stream<Arguments> invalidHeads() {
        return onEachPath(ResponseShapes.invalidHeads());
    }

    static Stream<Arguments> invalidChunks() {
        return onEachPath(ResponseShapes.invalidChunks());
    }

    static Stream<Arguments> soundResponses() {
        return onEachPath(SoundResponseShapes.all());
    }

    static Stream<Arguments> someInvalidHeads() {
        return onEachPath(ResponseShapes.sample(ResponseShapes.invalidHeads()));
    }

    static Stream<Arguments> someInvalidChunks() {
        return onEachPath(ResponseShapes.sample(ResponseShapes.invalidChunks()));
    }

    private static String fields(ScriptedEndpoint.Received request) {
        return "Sapphire-Request-Id: "
                + request.headers().get("Sapphire-Request-Id")
                + "\r\nSapphire-Seal: s\r\n";
    }

    /** Creates an endpoint that ends its side of a connection after a response. */
    private static ScriptedEndpoint endpoint(Supplier<Shape> shape, Supplier<CountDownLatch> closed)
            throws Exception {
        return new ScriptedEndpoint(
                "e1",
                "z1",
                (request, socket, out) -> {
                    CountDownLatch closedNow = closed.get();
                    write(out, shape.get().octets(fields(request)));
                    socket.shutdownOutput();
                    if (isClosedByPeer(socket)) {
                        closedNow.countDown();
                    }
                });
    }

    private static boolean isClosedByPeer(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            // A connection is reset if its peer had bytes to read when it closed it.
            return true;
        }
    }

    /** Creates an endpoint that sends one event in response to each request. */
    private static ScriptedEndpoint soundEndpoint(String id) throws Exception {
        return ScriptedEndpoint.responding(
                id, "z2", request -> streamHeader(request, "s2") + event(1) + "0\r\n\r\n");
    }

    private void assertConnectionClosed() throws Exception {
        assertThat(closed.get().await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    /** Nothing of the response reaches the caller, and its connection carries no other request. */
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("invalidHeads")
    void malformedHeadIsABadGateway(String path, Shape next) throws Exception {
        String response = call(path, next);

        assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(TELLTALE, "Seal", "id:");
        assertConnectionClosed();
    }

    /** What may be repeated is; an order may have run, so it is not. */
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("someInvalidHeads")
    void requestWithAMalformedResponseIsRepeatedIfThatIsSafe(String path, Shape shape)
            throws Exception {
        boolean isRepeated = !path.equals("/order/");
        try (ScriptedEndpoint endpoint = endpoint(() -> shape, () -> new CountDownLatch(1));
                ScriptedEndpoint other = soundEndpoint("e2");
                RelayTestBed testBed = new RelayTestBed(endpoint, other).withTrafficPlan()) {
            String response = testBed.call("POST", path, "x");

            assertThat(response)
                    .startsWith(isRepeated ? "HTTP/1.1 200" : "HTTP/1.1 502")
                    .doesNotContain(TELLTALE);
            assertThat(endpoint.received()).hasSize(1);
            assertThat(other.received()).hasSize(isRepeated ? 1 : 0);
        }
    }

    /** A plain response is none; a caller of a stream sees that its connection breaks off. */
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("invalidChunks")
    void malformedChunksAreNeverASuccess(String path, Shape next) throws Exception {
        String response = call(path, next);

        if (path.equals("/stream/") && response.startsWith("HTTP/1.1 200")) {
            assertThat(response).doesNotContain("\r\n0\r\n");
        } else {
            assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(TELLTALE);
        }
        assertConnectionClosed();
    }

    /** A stream whose chunks are spoilt continues elsewhere, with no event missing or twice. */
    @ParameterizedTest(name = "{1}")
    @MethodSource("someInvalidChunks")
    void requestWithMalformedChunksIsRepeatedIfThatIsSafe(String path, Shape shape)
            throws Exception {
        try (ScriptedEndpoint endpoint = endpoint(() -> shape, () -> new CountDownLatch(1));
                ScriptedEndpoint other = soundEndpoint("e2");
                RelayTestBed testBed = new RelayTestBed(endpoint, other).withTrafficPlan()) {
            String response = testBed.call("POST", path, "x");

            if (path.equals("/order/")) {
                assertThat(response).startsWith("HTTP/1.1 502");
                assertThat(other.received()).isEmpty();
            } else {
                assertThat(response).startsWith("HTTP/1.1 200").containsOnlyOnce("data: e1\n");
                assertThat(other.received()).hasSize(1);
            }
            if (path.equals("/stream/")) {
                String resumedAfter = other.received().get(0).headers().get("Last-Event-Id");
                boolean isDelivered = response.contains(ResponseShapes.BODY);
                assertThat(resumedAfter).isEqualTo(isDelivered ? "0" : null);
                assertThat(response).endsWith("\r\n0\r\n\r\n");
            }
        }
    }

    /**
     * A head that is no HTTP does not say either that the request did not run, or what the endpoint
     * wants.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X No: v",
                "X-No\u0001te: v",
                "X-Note",
                "X-Note: v\r\n w",
                "Content-Length: 0x0",
                "Content-Length : 0"
            })
    void malformedRefusalIsNotObeyed(String line) throws Exception {
        ScriptedEndpoint.Script script =
                (request, socket, out) -> {
                    write(out, REFUSAL + fields(request) + line + "\r\n\r\n");
                    socket.close();
                };
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e1", "z1", script);
                ScriptedEndpoint other = soundEndpoint("e2");
                RelayTestBed testBed = new RelayTestBed(endpoint, other).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/order/", "x"))
                    .startsWith("HTTP/1.1 502")
                    .doesNotContain("Retry-After");
            assertThat(other.received()).isEmpty();
            assertThat(testBed.signals().blockedCount()).isZero();
            assertThat(testBed.signals().load(endpoint.state())).isEmpty();
            assertThat(testBed.signals().isBlocked(endpoint.state())).isFalse();
        }
    }

    /** A response to another request is discarded only if it is one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "X No: v\r\nContent-Length: 0\r\n\r\n",
                "Content-Length: +0\r\n\r\n",
                "X-Note: v\r\n w\r\nContent-Length: 0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n+0\r\n\r\n"
            })
    void malformedResponseToAnotherRequestEndsTheAttempt(String rest) throws Exception {
        ScriptedEndpoint.Script script =
                (request, socket, out) ->
                        write(
                                out,
                                "HTTP/1.1 200 OK\r\nSapphire-Request-Id: other\r\n"
                                        + rest
                                        + response(request, 200, "Sapphire-Seal: s\r\n", "ok"));
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e1", "z1", script);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/order/", "x")).startsWith("HTTP/1.1 502");
        }
    }

    /** A stream that has begun continues if the response that continues it is none. */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"X No: v", "X-Note: v\r\n w", "Content-Length: x", "X-Note"})
    void streamContinuesAfterAMalformedHeadOfItsContinuation(String line) throws Exception {
        try (ScriptedEndpoint first =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    write(out, streamHeader(request, "s") + event(1));
                                    socket.close();
                                });
                ScriptedEndpoint second =
                        ScriptedEndpoint.responding(
                                "e2",
                                "z2",
                                request ->
                                        streamHeader(request, "s")
                                                        .replace("\r\n\r\n", "\r\n" + line)
                                                + "\r\n\r\n"
                                                + event(2)
                                                + "0\r\n\r\n");
                ScriptedEndpoint third =
                        ScriptedEndpoint.responding(
                                "e3",
                                "z3",
                                request ->
                                        streamHeader(request, "s")
                                                + event(2)
                                                + event(3)
                                                + "0\r\n\r\n");
                RelayTestBed testBed = new RelayTestBed(first, second, third).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "x");

            assertThat(response)
                    .startsWith("HTTP/1.1 200")
                    .containsSubsequence("data: e1\n", "data: e2\n", "data: e3\n")
                    .containsOnlyOnce("data: e2\n")
                    .endsWith("\r\n0\r\n\r\n");
        }
    }

    /** The log names what is wrong, and contains nothing that the endpoint sent. */
    @ParameterizedTest
    @CsvSource({
        "'X No: v\r\n\r\n', a line of the head is no field",
        "'Content-Length: x\r\n\r\n', the length of the body is not a number",
        "'Transfer-Encoding: chunked\r\n\r\n+1\r\nx', the chunks of the response are no HTTP",
        "'Transfer-Encoding: chunked\r\n\r\n5\r\nx', the connection failed within the body"
    })
    void logTellsWhatIsWrongWithAResponse(String rest, String expected) throws Exception {
        Logger logger = Logger.getLogger(PlainRelay.class.getName());
        List<String> messages = new CopyOnWriteArrayList<>();
        Handler handler = handlerOf(messages::add);
        logger.addHandler(handler);
        try {
            call("/order/", new Shape("logged", "HTTP/1.1 200 OK\r\n@@" + rest));
        } finally {
            logger.removeHandler(handler);
        }
        assertThat(messages)
                .anyMatch(message -> message.contains("SAP1910") && message.contains(expected))
                .noneMatch(message -> message.contains(TELLTALE));
    }

    private static Handler handlerOf(Consumer<String> messages) {
        return new Handler() {
            @Override
            public void publish(LogRecord record) {
                messages.accept(record.getMessage());
            }

            @Override
            public void flush() {
                // Nothing is buffered.
            }

            @Override
            public void close() {
                // There is no resource to release.
            }
        };
    }

    /** The rules reject nothing that HTTP allows. */
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("soundResponses")
    void soundResponseReachesTheCaller(String path, Shape next) throws Exception {
        String response = call(path, next);

        assertThat(response)
                .startsWith("HTTP/1.1 200")
                .contains(ResponseShapes.TELLTALE)
                .contains(ResponseShapes.BODY);
    }
}

package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.runtime.connection.ResponseShapes;
import io.sapphirestack.runtime.connection.ResponseShapes.Shape;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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
    private static final int SAMPLE = 7;
    private static final long CLOSE_TIMEOUT_MS = 5_000;

    private final AtomicReference<Shape> shape = new AtomicReference<>();
    private final AtomicReference<CountDownLatch> closed = new AtomicReference<>();
    private ScriptedEndpoint sharedEndpoint;
    private RelayTestBed sharedRelay;

    @BeforeAll
    void start() throws Exception {
        sharedEndpoint = endpoint(shape::get, () -> closed.get().countDown());
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

    static Stream<Arguments> soundResponses() {
        return onEachPath(ResponseShapes.soundResponses());
    }

    /** Chooses some shapes of each kind, for tests that need a relay of their own. */
    private static Stream<Shape> sample(Stream<Shape> shapes) {
        List<Shape> all = shapes.toList();
        return IntStream.range(0, all.size()).filter(i -> i % SAMPLE == 0).mapToObj(all::get);
    }

    static Stream<Arguments> someInvalidHeads() {
        return onEachPath(sample(ResponseShapes.invalidHeads()));
    }

    private static String fields(ScriptedEndpoint.Received request) {
        return "Sapphire-Request-Id: "
                + request.headers().get("Sapphire-Request-Id")
                + "\r\nSapphire-Seal: s\r\n";
    }

    /** Creates an endpoint that ends its side of a connection after a response. */
    private static ScriptedEndpoint endpoint(Supplier<Shape> shape, Runnable onClosed)
            throws Exception {
        return new ScriptedEndpoint(
                "e1",
                "z1",
                (request, socket, out) -> {
                    write(out, shape.get().octets(fields(request)));
                    socket.shutdownOutput();
                    if (isClosedByPeer(socket)) {
                        onClosed.run();
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
        try (ScriptedEndpoint endpoint = endpoint(() -> shape, () -> {});
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

package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against parts of responses that callers take for whole ones, and against responses that
 * callers cannot read (reports of other operators, MIXED): an endpoint answered a long upload at
 * once, without a length, and reset the connection while it was still being written; another one
 * sent the status 000. The tests use TCP connections.
 */
@Timeout(60)
class ResponseEndingTests {

    private static final String WHOLE = "the whole body";
    private static final int LONG_UPLOAD_BYTES = 2_000_000;
    private static final int SHORT_UPLOAD_BYTES = 10;
    private static final int RESET_LINGER_S = 0;
    private static final int MAX_DELAY_MS = 30;
    private static final int TRIES = 4;

    /** How a response says where it ends. */
    private enum Framing {
        NONE(""),
        LENGTH("Content-Length: " + WHOLE.length() + "\r\n"),
        CHUNKS("Transfer-Encoding: chunked\r\n");

        private final String field;

        Framing(String field) {
            this.field = field;
        }

        private String body(boolean whole) {
            String text = whole ? WHOLE : WHOLE.substring(0, 5);
            if (this != CHUNKS) {
                return text;
            }
            String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            return whole ? chunk + "0\r\n\r\n" : chunk;
        }
    }

    /** How an endpoint ends its connection. */
    private enum Ending {
        CLOSE,
        RESET
    }

    private static Stream<Arguments> endings() {
        return Stream.of("/order/", "/read/")
                .flatMap(
                        path ->
                                Stream.of(Framing.values())
                                        .flatMap(
                                                framing ->
                                                        Stream.of(Ending.values())
                                                                .flatMap(
                                                                        e ->
                                                                                uploads(
                                                                                        path,
                                                                                        framing,
                                                                                        e))));
    }

    private static Stream<Arguments> uploads(String path, Framing framing, Ending ending) {
        return Stream.of(SHORT_UPLOAD_BYTES, LONG_UPLOAD_BYTES)
                .flatMap(
                        bytes ->
                                Stream.of(true, false)
                                        .map(e -> Arguments.of(path, framing, ending, bytes, e)));
    }

    private static ScriptedEndpoint endpoint(
            Framing framing, Ending ending, boolean whole, boolean early, Random random)
            throws Exception {
        ScriptedEndpoint endpoint =
                new ScriptedEndpoint(
                        "e1",
                        "z1",
                        (request, socket, out) -> {
                            write(
                                    out,
                                    head(request, "200 OK", framing.field) + framing.body(whole));
                            Thread.currentThread().join(1 + random.nextInt(MAX_DELAY_MS));
                            if (ending == Ending.RESET) {
                                socket.setSoLinger(true, RESET_LINGER_S);
                            }
                            socket.close();
                        });
        return early ? endpoint.respondingBeforeTheBody() : endpoint;
    }

    private static String head(ScriptedEndpoint.Received request, String status, String fields) {
        return "HTTP/1.1 "
                + status
                + "\r\nSapphire-Request-Id: "
                + request.headers().get("Sapphire-Request-Id")
                + "\r\nSapphire-Seal: s\r\n"
                + fields
                + "\r\n";
    }

    private static String bodyOf(String response) {
        return response.substring(response.indexOf("\r\n\r\n") + 4);
    }

    /**
     * A part must not look whole, however the connection ends and whenever that happens. Without a
     * length, a close is the end of the response (RFC 9112, section 6.3).
     */
    @ParameterizedTest(name = "{0} {1} {2}, {3} bytes, early: {4}")
    @MethodSource("endings")
    void partOfAResponseIsNeverASuccess(
            String path, Framing framing, Ending ending, int uploadBytes, boolean early)
            throws Exception {
        boolean isAllowed = framing == Framing.NONE && ending == Ending.CLOSE;
        Random random = new Random(uploadBytes + framing.ordinal());
        for (int i = 0; i < TRIES; i++) {
            try (ScriptedEndpoint endpoint = endpoint(framing, ending, false, early, random);
                    RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
                String response = testBed.call("POST", path, "x".repeat(uploadBytes));
                if (isAllowed && response.startsWith("HTTP/1.1 200")) {
                    assertThat(bodyOf(response)).isEqualTo(framing.body(false));
                } else {
                    assertThat(response).startsWith("HTTP/1.1 502");
                }
            }
        }
    }

    /** A whole response is delivered; one without a length if its connection was closed. */
    @ParameterizedTest
    @CsvSource({"NONE, CLOSE", "LENGTH, CLOSE", "LENGTH, RESET", "CHUNKS, CLOSE", "CHUNKS, RESET"})
    void wholeResponseIsDelivered(Framing framing, Ending ending) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint(framing, ending, true, false, new Random(1));
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response = testBed.call("POST", "/order/", "x");

            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(bodyOf(response)).isEqualTo(WHOLE);
        }
    }

    /** An endpoint may respond before it has read the request, and read on. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void earlyResponseOfAnEndpointThatReadsOnIsDelivered(Framing framing) throws Exception {
        try (ScriptedEndpoint endpoint =
                        new ScriptedEndpoint(
                                        "e1",
                                        "z1",
                                        (request, socket, out) -> {
                                            write(
                                                    out,
                                                    head(request, "200 OK", framing.field)
                                                            + framing.body(true));
                                            socket.shutdownOutput();
                                            socket.getInputStream().readAllBytes();
                                        })
                                .respondingBeforeTheBody();
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response = testBed.call("POST", "/order/", "x".repeat(LONG_UPLOAD_BYTES));

            assertThat(response).startsWith("HTTP/1.1 200");
            assertThat(bodyOf(response)).isEqualTo(WHOLE);
        }
    }

    private static Stream<Arguments> invalidStatuses() {
        return Stream.of(
                        "000 X", "001 X", "099 X", "20 X", "2 X", "0200 X", "1000 X", "600 X",
                        "999 X", "-200 X", "+200 X", "2x0 X", "200OK", "2 0 0", "X", "101 X")
                .flatMap(
                        s ->
                                Stream.of("/order/", "/read/", "/stream/")
                                        .map(p -> Arguments.of(p, s)));
    }

    /**
     * The caller gets a failure that it can read, not the status of the endpoint and not nothing.
     */
    @ParameterizedTest
    @MethodSource("invalidStatuses")
    void statusThatIsNoneIsABadGateway(String path, String status) throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1", "z1", r -> head(r, status, "Content-Length: 2\r\n") + "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", path, "x")).startsWith("HTTP/1.1 502");
        }
    }

    /** All statuses from 200 to 599 are statuses, also those without a meaning of their own. */
    @ParameterizedTest
    @CsvSource({"200", "299", "'200 '", "250 Any text", "399 X", "499 X", "599 X"})
    void otherStatusesReachTheCaller(String status) throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1", "z1", r -> head(r, status, "Content-Length: 2\r\n") + "ok");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String response = testBed.call("POST", "/order/", "x");

            assertThat(response).startsWith("HTTP/1.1 " + status.substring(0, 3) + " ");
            assertThat(bodyOf(response)).isEqualTo("ok");
        }
    }
}

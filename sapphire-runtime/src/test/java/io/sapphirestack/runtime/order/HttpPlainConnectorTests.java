package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.runtime.connection.ResponseShapes;
import io.sapphirestack.runtime.connection.ResponseShapes.Shape;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.stream.Stream;
import org.apache.hc.core5.http.MessageConstraintException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses of plain services that are taken for complete although they broke off,
 * that never end, or that belong to an earlier request.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpPlainConnectorTests {

    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole";
    private static final long TIMEOUT_MS = 500;

    private static final long MEMORY_BYTES = 16L * 1_024 * 1_024;
    private static final long BODY_TIMEOUT_MS = 1_000;

    private final ByteBudget memory = new ByteBudget(MEMORY_BYTES);
    private final HttpPlainConnector connector = new HttpPlainConnector(memory, BODY_TIMEOUT_MS);
    private ServerSocket server;
    private volatile Script script;
    private volatile boolean readsBodies = true;
    private volatile boolean resetsNext;

    /** Responds to one request; an exception closes the connection. */
    @FunctionalInterface
    private interface Script {
        void respond(String id, int number, OutputStream out) throws Exception;
    }

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "plain-service");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                serveAndClose(socket);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serveAndClose(Socket socket) throws IOException {
        try {
            serve(socket);
        } catch (Exception e) {
            // Scripts throw to close the connection.
            if (resetsNext) {
                socket.setSoLinger(true, 0);
            }
        } finally {
            socket.close();
        }
    }

    private void serve(Socket socket) throws Exception {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(
                                socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String id = "";
        int number = 0;
        long bodyBytes = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.startsWith("Sapphire-Request-Id: ")) {
                id = line.substring(line.indexOf(' ') + 1);
            }
            if (line.startsWith("Content-Length: ")) {
                bodyBytes = Long.parseLong(line.substring(line.indexOf(' ') + 1));
            }
            if (line.isEmpty()) {
                if (readsBodies) {
                    in.skip(bodyBytes);
                }
                bodyBytes = 0;
                script.respond(id, number++, socket.getOutputStream());
            }
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private PlainConnection open() throws EndpointException {
        String address = "127.0.0.1:" + server.getLocalPort();
        return connector.open(address, TIMEOUT_MS, TIMEOUT_MS);
    }

    private static PlainResponse read(PlainConnection connection) throws EndpointException {
        return connection.send("GET", "/read/x", Map.of(), null);
    }

    @Test
    void responseCutAtAnyByteIsAFailure() throws Exception {
        for (int cut = 0; cut < RESPONSE.length(); cut++) {
            String part = RESPONSE.substring(0, cut);
            script =
                    (id, number, out) -> {
                        write(out, part);
                        throw new IOException("connection closed");
                    };
            try (PlainConnection connection = open()) {
                assertThatThrownBy(() -> read(connection))
                        .as("cut after %d bytes", cut)
                        .isInstanceOfSatisfying(
                                EndpointException.class, e -> assertThat(e.maybeSent()).isTrue());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 100 Continue\r\n\r\n"})
    void headWithoutEndEnds(String bytes) throws Exception {
        script =
                (id, number, out) -> {
                    write(out, bytes);
                    while (true) {
                        write(out, bytes.endsWith("\n") ? bytes : "x");
                    }
                };
        try (PlainConnection connection = open()) {
            assertThatThrownBy(() -> read(connection)).isInstanceOf(EndpointException.class);
        }
    }

    @Test
    void headThatTricklesEndsAtTheTimeout() throws Exception {
        script =
                (id, number, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nX: ");
                    while (true) {
                        write(out, "x");
                        Thread.currentThread().join(50);
                    }
                };
        try (PlainConnection connection = open()) {
            assertThatThrownBy(() -> read(connection))
                    .isInstanceOfSatisfying(
                            EndpointException.class, e -> assertThat(e.timedOut()).isTrue());
        }
    }

    @Test
    void lateSecondCopyDoesNotAnswerTheNextRequest() throws Exception {
        script =
                (id, number, out) -> {
                    String response = identified(id);
                    write(out, response);
                    if (number == 0) {
                        Thread.currentThread().join(50);
                        write(out, response);
                    }
                };
        try (PlainConnection connection = open()) {
            assertThat(read(connection).connectionReusable()).isTrue();
            assertThatThrownBy(() -> read(connection)).isInstanceOf(EndpointException.class);
        }
    }

    @Test
    void connectionIsReusedOnlyIfResponsesNameTheirRequest() throws Exception {
        script = (id, number, out) -> write(out, number < 2 ? identified(id) : RESPONSE);
        try (PlainConnection connection = open()) {
            assertThat(read(connection).connectionReusable()).isTrue();
            assertThat(read(connection).connectionReusable()).isTrue();
            assertThatThrownBy(() -> read(connection)).isInstanceOf(EndpointException.class);
        }
        script = (id, number, out) -> write(out, RESPONSE);
        try (PlainConnection connection = open()) {
            PlainResponse response = read(connection);
            assertThat(response.body()).asString().isEqualTo("whole");
            assertThat(response.connectionReusable()).isFalse();
        }
    }

    /** The caller took a part of a response for the whole (report of other operators, MIXED). */
    @ParameterizedTest
    @CsvSource({
        "'', 0, false",
        "'', 0, true",
        "'', 2000000, false",
        "'', 2000000, true",
        "'Content-Length: 50\r\n', 2000000, true",
        "'Transfer-Encoding: chunked\r\n', 2000000, true"
    })
    void partOfAResponseIsAFailureIfItsConnectionIsReset(
            String framing, int uploadBytes, boolean early) throws Exception {
        readsBodies = !early;
        script =
                (id, number, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\n" + framing + "\r\n2\r\nwh");
                    Thread.currentThread().join(20);
                    resetsNext = true;
                    throw new IOException("connection reset");
                };
        try (PlainConnection connection = open()) {
            assertThatThrownBy(
                            () ->
                                    connection.send(
                                            "POST", "/orders/k", Map.of(), new byte[uploadBytes]))
                    .isInstanceOfSatisfying(
                            EndpointException.class, e -> assertThat(e.maybeSent()).isTrue());
        }
    }

    @Test
    void responseWithoutALengthThatEndsWithItsConnectionIsWhole() throws Exception {
        script =
                (id, number, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\n\r\nwhole");
                    throw new IOException("connection closed");
                };
        try (PlainConnection connection = open()) {
            assertThat(read(connection).body()).asString().isEqualTo("whole");
        }
    }

    /** A status that callers cannot read is no response (report of other operators, MIXED). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000", "099", "20", "0200", "600", "999", "1000", "-200", "2x0", "200OK", "101", ""
            })
    void statusThatIsNoneIsAFailure(String status) throws Exception {
        script = (id, number, out) -> write(out, RESPONSE.replace("200", status));
        try (PlainConnection connection = open()) {
            assertThatThrownBy(() -> read(connection))
                    .isInstanceOfSatisfying(
                            EndpointException.class, e -> assertThat(e.maybeSent()).isTrue());
        }
    }

    /** Bodies without end, quick or slow, of several endpoints at once. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20})
    void bodyWithoutEndFailsAndReturnsItsMemory(int intervalMs) throws Exception {
        script =
                (id, number, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\n\r\n");
                    while (true) {
                        write(out, intervalMs == 0 ? "x".repeat(8_000) : "x");
                        if (intervalMs > 0) {
                            Thread.currentThread().join(intervalMs);
                        }
                    }
                };
        for (int i = 0; i < 3; i++) {
            try (PlainConnection connection = open()) {
                assertThatThrownBy(() -> read(connection)).isInstanceOf(EndpointException.class);
            }
            assertThat(memory.reservedBytes()).isZero();
        }
    }

    /** Lines of chunked bodies are no part of the body, whose size is limited. */
    @ParameterizedTest
    @CsvSource({"1;a=, x", "'0\r\n', 'X: v\r\n'", "'0\r\nX: ', v"})
    void chunkLinesAndTrailersWithoutEndExceedALimit(String start, String repeated)
            throws Exception {
        script =
                (id, number, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start);
                    while (true) {
                        write(out, repeated.repeat(1_000));
                    }
                };
        try (PlainConnection connection = open()) {
            assertThatThrownBy(() -> read(connection))
                    .isInstanceOf(EndpointException.class)
                    .hasCauseInstanceOf(MessageConstraintException.class);
        }
    }

    /** One machine must not keep all that sick endpoints send (report of other operators). */
    @Test
    void bodyForWhichThereIsNoMemoryFails() throws Exception {
        script =
                (id, number, out) ->
                        write(
                                out,
                                "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
                                        + "x".repeat(100_000));
        try (ByteBudget.Lease others = memory.newLease();
                PlainConnection connection = open()) {
            assertThat(others.tryReserve(MEMORY_BYTES - 50_000)).isTrue();
            assertThatThrownBy(() -> read(connection)).isInstanceOf(EndpointException.class);
        }
        try (PlainConnection connection = open()) {
            assertThat(read(connection).body()).hasSize(100_000);
        }
    }

    static Stream<Shape> invalidResponses() {
        return Stream.concat(ResponseShapes.invalidHeads(), ResponseShapes.invalidChunks());
    }

    private void respond(Shape shape) {
        script =
                (id, number, out) -> {
                    write(out, shape.octets("Sapphire-Request-Id: " + id + "\r\n"));
                    throw new IOException("connection closed");
                };
    }

    /** A response that is no HTTP says nothing, also not that the request did not run. */
    @ParameterizedTest
    @MethodSource("invalidResponses")
    void malformedResponseIsAFailureOfARequestThatMayHaveRun(Shape shape) throws Exception {
        respond(shape);
        try (PlainConnection connection = open()) {
            assertThatThrownBy(() -> read(connection))
                    .isInstanceOfSatisfying(
                            EndpointException.class, e -> assertThat(e.maybeSent()).isTrue());
        }
    }

    @ParameterizedTest
    @MethodSource("io.sapphirestack.runtime.connection.SoundResponseShapes#all")
    void soundResponseOfUnusualLooksIsRead(Shape shape) throws Exception {
        respond(shape);
        try (PlainConnection connection = open()) {
            assertThat(read(connection).body()).asString().isEqualTo(ResponseShapes.BODY);
        }
    }

    private static String identified(String id) {
        return RESPONSE.replace("\r\n\r\n", "\r\nSapphire-Request-Id: " + id + "\r\n\r\n");
    }
}

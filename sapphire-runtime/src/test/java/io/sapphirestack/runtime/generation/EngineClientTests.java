package io.sapphirestack.runtime.generation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.runtime.connection.ResponseShapes;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.endpoint.HttpEngineOrderClient;
import io.sapphirestack.runtime.error.ServiceException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an engine that harms more than its own generation: bytes without end that exhaust
 * the heap or hold a thread, and parts of a stream that are taken for its end. The tests use TCP
 * connections.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EngineClientTests {

    private static final long TIMEOUT_MS = 400;

    /** Longest time for which one read of a stream may last, in milliseconds. */
    private static final long READ_MS = 5_000;

    private static final int RESET_LINGER_S = 0;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    private static final String TOKEN = "id: 0\ndata: {\"token\":\"t\"}\n\n";
    private static final String PADDING = "x".repeat(8_000);

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private ServerSocket server;
    private volatile Script script;

    /** Writes the response; an exception closes the connection. */
    @FunctionalInterface
    private interface Script {
        void respond(Socket socket, OutputStream out) throws Exception;
    }

    /** Bytes that never form an event. */
    private enum EndlessBytes {
        LINE(HEAD + "\r\ndata: ", PADDING, 0),
        FIELDS(HEAD + "\r\n", "data: x\n", 0),
        EMPTY_LINES(HEAD + "\r\n", "\n", 0),
        CHUNK(HEAD + "Transfer-Encoding: chunked\r\n\r\n", "1f40\r\n" + PADDING + "\r\n", 0),
        HEAD_LINE("HTTP/1.1 200 OK\r\nX: ", PADDING, 0),
        SLOW_LINE(HEAD + "\r\ndata: ", "x", 50),
        SLOW_FIELDS(HEAD + "\r\n", "data: x\n", 50);

        private final String start;
        private final String repeated;
        private final int intervalMs;

        EndlessBytes(String start, String repeated, int intervalMs) {
            this.start = start;
            this.repeated = repeated;
            this.intervalMs = intervalMs;
        }

        private void write(OutputStream out) throws Exception {
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            byte[] bytes = repeated.getBytes(StandardCharsets.ISO_8859_1);
            while (true) {
                out.write(bytes);
                if (intervalMs > 0) {
                    Thread.currentThread().join(intervalMs);
                }
            }
        }
    }

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        threads.shutdownNow();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            // Closing a connection with unread bytes would reset it.
            byte[] request = new byte[8_192];
            while (socket.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            socket.getInputStream().read(request);
            script.respond(socket, socket.getOutputStream());
        } catch (Exception e) {
            // The client has closed the connection, or the script has ended it.
            return;
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private EngineStream attach() throws ServiceException {
        return new EngineClient().attach(address(), GenerationId.of("g-1"), 1, 0, TIMEOUT_MS);
    }

    @ParameterizedTest
    @EnumSource
    void streamWithoutEndOfAnEventFails(EndlessBytes bytes) {
        script = (socket, out) -> bytes.write(out);
        long startedNs = System.nanoTime();

        assertThatThrownBy(
                        () -> {
                            try (EngineStream stream = attach()) {
                                stream.next();
                            }
                        })
                .isInstanceOf(EndpointException.class);

        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs))
                .isLessThan(READ_MS);
    }

    /** What the limit counts is one event, not the stream. */
    @Test
    void longStreamOfShortEventsIsRead() throws Exception {
        int tokens = 40_000;
        script =
                (socket, out) -> {
                    write(out, HEAD + "\r\n");
                    for (int i = 0; i < tokens; i++) {
                        write(out, TOKEN);
                    }
                    write(out, "event: end\ndata: {\"finishReason\":\"stop\"}\n\n");
                };
        try (EngineStream stream = attach()) {
            for (int i = 0; i < tokens; i++) {
                assertThat(stream.next()).isEqualTo(new EngineStream.Token(0, "t"));
            }
            assertThat(stream.next()).isEqualTo(new EngineStream.End("stop"));
        }
    }

    /** A stream is complete with its last event only, however its connection ends (MIXED). */
    @ParameterizedTest
    @CsvSource({"false, ''", "true, ''", "false, 'id: 1\ndata: {\"tok'", "true, 'id: 1\ndata: {'"})
    void streamThatBreaksOffIsNotComplete(boolean reset, String part) throws Exception {
        script =
                (socket, out) -> {
                    write(out, HEAD + "\r\n" + TOKEN + part);
                    Thread.currentThread().join(20);
                    if (reset) {
                        socket.setSoLinger(true, RESET_LINGER_S);
                    }
                };
        try (EngineStream stream = attach()) {
            assertThat(stream.next()).isInstanceOf(EngineStream.Token.class);
            assertThatThrownBy(stream::next).isInstanceOf(EndpointException.class);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "20", "0200", "600", "999", "101", "2x0"})
    void statusThatIsNoneIsAFailure(String status) {
        script = (socket, out) -> write(out, HEAD.replace("200", status) + "\r\n" + TOKEN);

        assertThatThrownBy(this::attach).isInstanceOf(ServiceException.class);
    }

    /** Nothing of a head that is no HTTP becomes a part of a generation. */
    @ParameterizedTest
    @MethodSource("io.sapphirestack.runtime.connection.ResponseShapes#invalidHeads")
    void malformedHeadIsAFailure(ResponseShapes.Shape shape) {
        script = (socket, out) -> write(out, shape.octets(""));

        assertThatThrownBy(this::attach).isInstanceOf(EndpointException.class);
    }

    static Stream<ResponseShapes.Shape> invalidChunkSizes() {
        return ResponseShapes.invalidChunks().filter(s -> s.name().startsWith("chunk size"));
    }

    @ParameterizedTest
    @MethodSource("invalidChunkSizes")
    void malformedChunkBreaksTheStreamOff(ResponseShapes.Shape shape) throws Exception {
        script = (socket, out) -> write(out, shape.octets(""));
        try (EngineStream stream = attach()) {
            assertThatThrownBy(stream::next).isInstanceOf(EndpointException.class);
        }
    }

    @ParameterizedTest
    @MethodSource("io.sapphirestack.runtime.connection.SoundResponseShapes#all")
    void soundStreamOfUnusualLooksIsRead(ResponseShapes.Shape shape) throws Exception {
        script = (socket, out) -> write(out, shape.octets(""));
        try (EngineStream stream = attach()) {
            assertThat(stream.next()).isEqualTo(new EngineStream.Token(0, "t"));
        }
    }

    @ParameterizedTest
    @MethodSource("io.sapphirestack.runtime.connection.ResponseShapes#invalidHeads")
    void malformedHeadIsNoResponseToAProbe(ResponseShapes.Shape shape) {
        script = (socket, out) -> write(out, shape.octets(""));

        assertThat(new EngineClient().probe(address(), TIMEOUT_MS))
                .isNotEqualTo(EngineClient.ProbeResult.RESPONDED);
    }

    static Stream<ResponseShapes.Shape> invalidResponses() {
        return Stream.concat(ResponseShapes.invalidHeads(), ResponseShapes.invalidChunks());
    }

    /** An order whose response is no HTTP is neither accepted nor refused. */
    @ParameterizedTest
    @MethodSource("invalidResponses")
    void malformedResponseToAnOrderIsAFailure(ResponseShapes.Shape shape) {
        script = (socket, out) -> write(out, shape.octets("").replace(" 200", " 202"));
        EndpointOrder order =
                new EndpointOrder(EndpointOrder.Action.LOAD, new ModelPin("m", "", "v1"), "", 0);

        assertThatThrownBy(
                        () ->
                                orderClient()
                                        .send(address(), 1, order, () -> true)
                                        .get(READ_MS, TimeUnit.MILLISECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(EndpointException.class);
    }

    private HttpEngineOrderClient orderClient() {
        return new HttpEngineOrderClient(
                threads, new com.fasterxml.jackson.databind.ObjectMapper(), "");
    }

    /** The few threads for orders to engines must not be held by one of them. */
    @ParameterizedTest
    @ValueSource(ints = {0, 50})
    void stateWithoutEndFails(int intervalMs) throws Exception {
        script =
                (socket, out) -> {
                    write(out, "HTTP/1.1 200 OK\r\n\r\n");
                    while (true) {
                        write(out, intervalMs == 0 ? PADDING : "x");
                        Thread.currentThread().join(Math.max(1, intervalMs));
                    }
                };
        assertThatThrownBy(
                        () ->
                                orderClient()
                                        .state(address())
                                        .get(2 * READ_MS, TimeUnit.MILLISECONDS))
                .isInstanceOf(ExecutionException.class)
                .hasCauseInstanceOf(EndpointException.class);
    }
}

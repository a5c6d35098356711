package io.sapphirestack.runtime.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.limit.ByteBudget;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against header lines that take memory outside the budget, or that never return it. */
@Timeout(30)
class HeadMeterTests {

    private static final long CAPACITY_BYTES = 8L * 1_024 * 1_024;
    private static final int MAX_HEAD_BYTES = 24 * 1_024;

    private final ByteBudget memory = new ByteBudget(CAPACITY_BYTES);

    /** Request and the bytes that are reserved after its head and after its body were read. */
    private record Outcome(ClassicHttpRequest request, long headBytes, long leftBytes) {}

    private Outcome receive(String text) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TrackedSocket socket = new TrackedSocket()) {
            socket.connect(server.getLocalSocketAddress());
            try (Socket peer = server.accept()) {
                peer.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
                peer.shutdownOutput();
                return receive(socket);
            }
        }
    }

    private Outcome receive(TrackedSocket socket) throws Exception {
        try (HeadMeter meter = new HeadMeter(memory, MAX_HEAD_BYTES);
                ByteBudget.Lease lease = memory.newLease()) {
            MeteredServerConnection connection =
                    new MeteredServerConnection(
                            socket, Http1Config.custom().setBufferSize(4_096).build(), meter);
            meter.startMessage(lease);
            ClassicHttpRequest request = connection.receiveRequestHeader();
            long headBytes = memory.reservedBytes();
            connection.receiveRequestEntity(request);
            if (request.getEntity() != null) {
                request.getEntity().writeTo(new ByteArrayOutputStream());
            }
            meter.releaseParsed();
            return new Outcome(request, headBytes, memory.reservedBytes());
        }
    }

    @ParameterizedTest
    @CsvSource({"a:, 3900", "b:x, 3000", "c: some longer value, 700"})
    void headHoldsMemoryForEachLineAndByteUntilItsObjectsAreDropped(String line, int count)
            throws Exception {
        String head = "GET / HTTP/1.1\r\n" + (line + "\r\n").repeat(count) + "\r\n";
        Outcome outcome = receive(head);
        long lines = count + 2L;
        assertThat(outcome.request().getHeaders()).hasSize(count);
        assertThat(outcome.headBytes())
                .isEqualTo(
                        lines * HeadMeter.LINE_MEMORY_BYTES
                                + head.length() * HeadMeter.CHARACTER_MEMORY_BYTES);
        assertThat(outcome.leftBytes())
                .isEqualTo(
                        lines * HeadMeter.RETAINED_LINE_MEMORY_BYTES
                                + head.length() * HeadMeter.RETAINED_CHARACTER_MEMORY_BYTES);
        assertThat(memory.reservedBytes()).isZero();
    }

    @Test
    void bytesOfABodyThatWereReadWithTheHeadAreNotCounted() throws Exception {
        String head = "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n";
        Outcome outcome = receive(head + "x".repeat(2_000));
        assertThat(outcome.headBytes())
                .isEqualTo(
                        3 * HeadMeter.LINE_MEMORY_BYTES
                                + head.length() * HeadMeter.CHARACTER_MEMORY_BYTES);
    }

    @Test
    void headAboveHalfOfTheBudgetIsRefusedBeforeItsLinesAreParsed() {
        try (ByteBudget.Lease others = memory.newLease()) {
            assertThat(others.tryReserve(CAPACITY_BYTES / 2)).isTrue();
            String head = "GET / HTTP/1.1\r\n" + "a:\r\n".repeat(3_900) + "\r\n";
            assertThatThrownBy(() -> receive(head))
                    .isInstanceOfSatisfying(
                            MessageLimitException.class,
                            e -> assertThat(e.limit()).isEqualTo(MessageLimit.MEMORY));
            assertThat(memory.reservedBytes()).isEqualTo(CAPACITY_BYTES / 2);
        }
    }

    @Test
    void smallHeadFindsMemoryWhileLargeOnesHoldHalfOfIt() throws Exception {
        try (ByteBudget.Lease others = memory.newLease()) {
            assertThat(others.tryReserve(CAPACITY_BYTES / 2)).isTrue();
            assertThat(receive("GET / HTTP/1.1\r\nHost: h\r\n\r\n").request()).isNotNull();
        }
    }

    @Test
    void trailerAboveTheLimitOfAHeadIsRefused() {
        String trailers = ("t: " + "x".repeat(1_000) + "\r\n").repeat(40);
        assertThatThrownBy(
                        () ->
                                receive(
                                        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                + "2\r\nok\r\n0\r\n"
                                                + trailers
                                                + "\r\n"))
                .isInstanceOf(IOException.class)
                .isInstanceOfSatisfying(
                        MessageLimitException.class,
                        e -> assertThat(e.limit()).isEqualTo(MessageLimit.HEAD));
        assertThat(memory.reservedBytes()).isZero();
    }

    @Test
    void longLineHoldsTheMemoryOfTheLineBufferUntilTheConnectionCloses() throws Exception {
        String head = "GET / HTTP/1.1\r\na: " + "x".repeat(12_000) + "\r\n\r\n";
        assertThat(receive(head).leftBytes()).isGreaterThan(2 * 12_000);
        assertThat(memory.reservedBytes()).isZero();
    }

    /**
     * Guards against bytes of the next request that are reserved on the closed lease of a chunked
     * one, and never returned.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "t: trailer\r\n"})
    void bytesBetweenRequestsTakeNoMemory(String trailer) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TrackedSocket socket = new TrackedSocket();
                HeadMeter meter = new HeadMeter(memory, MAX_HEAD_BYTES)) {
            socket.connect(server.getLocalSocketAddress());
            try (Socket peer = server.accept()) {
                MeteredServerConnection connection =
                        new MeteredServerConnection(
                                socket, Http1Config.custom().setBufferSize(4_096).build(), meter);
                send(
                        peer,
                        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                                + trailer
                                + "\r\n");
                try (ByteBudget.Lease lease = memory.newLease()) {
                    meter.startMessage(lease);
                    ClassicHttpRequest request = connection.receiveRequestHeader();
                    connection.receiveRequestEntity(request);
                    request.getEntity().writeTo(new ByteArrayOutputStream());
                }
                assertThat(memory.reservedBytes()).isZero();

                send(peer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
                assertThat(
                                connection.isDataAvailable(
                                        org.apache.hc.core5.util.Timeout.ofSeconds(5)))
                        .isTrue();
                assertThat(memory.reservedBytes()).isZero();
            }
        }
    }

    private static void send(Socket peer, String text) throws IOException {
        peer.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}

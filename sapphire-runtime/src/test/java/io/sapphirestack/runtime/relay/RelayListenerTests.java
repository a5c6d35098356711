package io.sapphirestack.runtime.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a listener that accepts no more connections after it could not serve one, for
 * example because no thread could be created, and against bytes that belong to no response.
 */
@Timeout(60)
class RelayListenerTests {

    private static final int READ_TIMEOUT_MS = 20_000;

    /** More than the socket buffers of both sides take. */
    private static final int UNREAD_BYTES = 32 * 1024 * 1024;

    private static final long UNREAD_MEMORY_BYTES = 500_000;

    private static final byte[] BODY = "no route matches".getBytes(StandardCharsets.US_ASCII);

    private final ByteBudget memory = new ByteBudget(1_000_000);

    @Test
    void connectionsAreAcceptedAfterOneThatCouldNotBeServed() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        ScheduledExecutorService scheduler = DaemonThreads.scheduler("test", 1);
        try (RelayListener listener =
                listener(
                        exchange -> exchange.sendResponse(204, List.of(), new byte[0]),
                        () -> {
                            // The first call is for all connections, the second for the first one.
                            if (calls.incrementAndGet() == 2) {
                                throw new OutOfMemoryError("unable to create native thread");
                            }
                            return CallerLimits.DEFAULT;
                        })) {
            listener.start(scheduler);

            assertThat(firstLine(listener)).as("connection that is not served").isEmpty();
            assertThat(firstLine(listener)).startsWith("HTTP/1.1 204");
            assertThat(listener.openConnections()).isLessThanOrEqualTo(1);
        } finally {
            scheduler.shutdownNow();
        }
    }

    /**
     * A response to HEAD has no body. With one, the client takes it for the beginning of the next
     * response on the connection.
     */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 503})
    void responseToHeadHasNoBody(int status) throws Exception {
        assertNextResponseIsWhole(
                exchange -> exchange.sendResponse(status, List.of(), BODY), status);
    }

    @Test
    void streamedResponseToHeadHasNoBody() throws Exception {
        assertNextResponseIsWhole(
                exchange -> exchange.sendStream(200, List.of(), out -> out.write(BODY)), 200);
    }

    /** A caller that reads nothing held the memory of its response as long as it liked. */
    @Test
    void responseThatStaysUnreadIsEndedAndItsMemoryReturned() throws Exception {
        ScheduledExecutorService scheduler = DaemonThreads.scheduler("test", 1);
        CountDownLatch ended = new CountDownLatch(1);
        HttpServerExchange.Handler handler =
                exchange -> {
                    assertThat(exchange.memory().tryReserve(UNREAD_MEMORY_BYTES)).isTrue();
                    try {
                        exchange.sendResponse(200, List.of(), new byte[UNREAD_BYTES]);
                    } finally {
                        ended.countDown();
                    }
                };
        try (RelayListener listener = listener(handler, () -> CallerLimits.DEFAULT);
                Socket socket = connect(listener)) {
            listener.start(scheduler);
            request(socket, "GET");
            assertThat(ended.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MS);
            while (memory.reservedBytes() > 0 && System.nanoTime() < endNs) {
                Thread.onSpinWait();
            }
            assertThat(memory.reservedBytes()).isZero();
        } finally {
            scheduler.shutdownNow();
        }
    }

    private void assertNextResponseIsWhole(HttpServerExchange.Handler handler, int status)
            throws Exception {
        ScheduledExecutorService scheduler = DaemonThreads.scheduler("test", 1);
        try (RelayListener listener = listener(handler, () -> CallerLimits.DEFAULT);
                Socket socket = connect(listener)) {
            listener.start(scheduler);
            request(socket, "HEAD");
            request(socket, "GET");
            socket.shutdownOutput();

            String responses =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            String[] parts = responses.split("\r\n\r\n", 3);
            assertThat(parts[0]).startsWith("HTTP/1.1 " + status);
            assertThat(parts[1]).startsWith("HTTP/1.1 " + status);
            assertThat(parts[2]).contains(new String(BODY, StandardCharsets.US_ASCII));
        } finally {
            scheduler.shutdownNow();
        }
    }

    private RelayListener listener(
            HttpServerExchange.Handler handler, Supplier<CallerLimits> limits) throws Exception {
        return new RelayListener(
                "test", "127.0.0.1:0", 10, handler, limits, memory, MillisClock.monotonic());
    }

    private static Socket connect(RelayListener listener) throws Exception {
        int colon = listener.address().lastIndexOf(':');
        Socket socket =
                new Socket(
                        listener.address().substring(0, colon),
                        Integer.parseInt(listener.address().substring(colon + 1)));
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void request(Socket socket, String method) throws Exception {
        socket.getOutputStream()
                .write(
                        (method + " / HTTP/1.1\r\nHost: h\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the first bytes of the response, empty if the connection is closed without one. */
    private static String firstLine(RelayListener listener) throws Exception {
        try (Socket socket = connect(listener)) {
            request(socket, "GET");
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }
}

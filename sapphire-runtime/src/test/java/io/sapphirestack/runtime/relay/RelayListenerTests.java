package io.sapphirestack.runtime.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a listener that accepts no more connections after it could not serve one, for
 * example because no thread could be created.
 */
@Timeout(60)
class RelayListenerTests {

    private static final int READ_TIMEOUT_MS = 20_000;

    @Test
    void connectionsAreAcceptedAfterOneThatCouldNotBeServed() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        ScheduledExecutorService scheduler = DaemonThreads.scheduler("test", 1);
        try (RelayListener listener =
                new RelayListener(
                        "test",
                        "127.0.0.1:0",
                        10,
                        exchange -> exchange.sendResponse(204, List.of(), new byte[0]),
                        () -> {
                            // The first call is for all connections, the second for the first one.
                            if (calls.incrementAndGet() == 2) {
                                throw new OutOfMemoryError("unable to create native thread");
                            }
                            return CallerLimits.DEFAULT;
                        },
                        new ByteBudget(1_000_000),
                        MillisClock.monotonic())) {
            listener.start(scheduler);

            assertThat(firstLine(listener)).as("connection that is not served").isEmpty();
            assertThat(firstLine(listener)).startsWith("HTTP/1.1 204");
            assertThat(listener.openConnections()).isLessThanOrEqualTo(1);
        } finally {
            scheduler.shutdownNow();
        }
    }

    /** Returns the first bytes of the response, empty if the connection is closed without one. */
    private static String firstLine(RelayListener listener) throws Exception {
        int colon = listener.address().lastIndexOf(':');
        try (Socket socket =
                new Socket(
                        listener.address().substring(0, colon),
                        Integer.parseInt(listener.address().substring(colon + 1)))) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
        }
    }
}

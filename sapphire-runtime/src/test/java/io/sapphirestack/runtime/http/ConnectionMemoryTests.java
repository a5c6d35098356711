package io.sapphirestack.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against callers that exhaust the memory of an instance with many connections on which they
 * send incomplete requests or never read the response.
 */
@Timeout(60)
class ConnectionMemoryTests {

    private static final int CONNECTIONS = 300;

    /**
     * Memory for 400 such connections, which must fit into 64 MB together with 56 MB for an idle
     * instance.
     */
    private static final long MAX_BYTES_PER_CONNECTION = 8 * 1024 * 1024 / 400;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0001\u0002 rubbish",
                "GET /v1/",
                "GET /v1/health HTTP/1.1\r\nHost: h\r\n\r\nGET /v1/health HTTP/1.1\r\nHost"
            })
    void connectionsThatNeverReadOrSendIncompleteRequestsUseLittleMemory(String sent)
            throws Exception {
        try (HttpTestServer server =
                new HttpTestServer(
                        new HttpSettings("127.0.0.1:0", 2 * CONNECTIONS, 8, 8, 8, 64 * 1024))) {
            List<Socket> sockets = new ArrayList<>();
            try {
                connect(server, sent, sockets, 50);
                long beforeBytes = usedHeapBytes();
                connect(server, sent, sockets, CONNECTIONS);
                long perConnectionBytes = (usedHeapBytes() - beforeBytes) / (CONNECTIONS - 50);
                assertThat(server.frontend.openConnections()).isEqualTo(CONNECTIONS);
                assertThat(perConnectionBytes).isLessThan(MAX_BYTES_PER_CONNECTION);
            } finally {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    private static void connect(HttpTestServer server, String sent, List<Socket> sockets, int count)
            throws Exception {
        String address = server.frontend.address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        while (sockets.size() < count) {
            Socket socket = new Socket("127.0.0.1", port);
            socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            sockets.add(socket);
        }
        while (server.frontend.openConnections() < count) {
            Thread.onSpinWait();
        }
        if (sent.contains("\r\n\r\n")) {
            // Waits until the response has arrived; it is never read.
            for (Socket socket : sockets) {
                while (socket.getInputStream().available() == 0) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}

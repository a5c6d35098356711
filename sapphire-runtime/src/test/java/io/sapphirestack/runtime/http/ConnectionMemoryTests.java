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

/** Guards against callers that fill the memory of an instance with connections they do not use. */
@Timeout(60)
class ConnectionMemoryTests {

    private static final int CALLERS = 300;

    /** 400 such callers and an idle instance of 56 MB have to fit into 64 MB. */
    private static final long MAX_BYTES_PER_CONNECTION = 8 * 1024 * 1024 / 400;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0001\u0002 rubbish",
                "GET /v1/",
                "GET /v1/health HTTP/1.1\r\nHost: h\r\n\r\nGET /v1/health HTTP/1.1\r\nHost"
            })
    void callersThatNeverReadOrNeverFinishCostLittleMemory(String sent) throws Exception {
        try (HttpTestServer server =
                new HttpTestServer(
                        new HttpSettings("127.0.0.1:0", 2 * CALLERS, 8, 8, 8, 64 * 1024))) {
            List<Socket> callers = new ArrayList<>();
            try {
                connect(server, sent, callers, 50);
                long beforeBytes = usedHeapBytes();
                connect(server, sent, callers, CALLERS);
                long perConnectionBytes = (usedHeapBytes() - beforeBytes) / (CALLERS - 50);
                assertThat(server.frontend.openConnections()).isEqualTo(CALLERS);
                assertThat(perConnectionBytes).isLessThan(MAX_BYTES_PER_CONNECTION);
            } finally {
                for (Socket caller : callers) {
                    caller.close();
                }
            }
        }
    }

    private static void connect(HttpTestServer server, String sent, List<Socket> callers, int count)
            throws Exception {
        String address = server.frontend.address();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        while (callers.size() < count) {
            Socket caller = new Socket("127.0.0.1", port);
            caller.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            callers.add(caller);
        }
        while (server.frontend.openConnections() < count) {
            Thread.onSpinWait();
        }
        if (sent.contains("\r\n\r\n")) {
            // The answer has arrived and is never read.
            for (Socket caller : callers) {
                while (caller.getInputStream().available() == 0) {
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

package io.sapphirestack.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses that are no HTTP and that the client takes for responses of an instance
 * (issue 47). The tests use TCP connections.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MalformedResponseTests {

    private static final String BODY =
            "id: 0\ndata: {\"choices\":[{\"text\":\"t\"}]}\n\ndata: [DONE]\n\n";

    private final List<ServerSocket> servers = new ArrayList<>();

    @AfterEach
    void stopServers() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }

    /** Starts a server that sends the same octets on each connection, and returns its address. */
    private String startServer(String response) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        servers.add(server);
        Thread thread = new Thread(() -> serve(server, response), "malformed-server");
        thread.setDaemon(true);
        thread.start();
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void serve(ServerSocket server, String response) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[8_192]);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                socket.shutdownOutput();
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // The client has reset the connection, or the server is closed.
                continue;
            }
        }
    }

    private static SapphireClient createClient(long timeoutMs, String... addresses) {
        return new SapphireClient(
                new ClientOptions(List.of(addresses), "key", timeoutMs, 2_000),
                MillisClock.monotonic());
    }

    private static String withFields(String fields) {
        return "HTTP/1.1 200 OK\r\nSapphire-Run: yes\r\n" + fields + "\r\n\r\n" + BODY;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content Length: 5",
                "Content\u0001Length: 5",
                "Content-Length : 5",
                "Content-Length: +5",
                "X-Note: v\r\n Content-Length: 5",
                " Content-Length: 5",
                "Transfer-Encoding: gzip, chunked"
            })
    void malformedHeadIsNoResponse(String fields) throws Exception {
        String address = startServer(withFields(fields));
        try (SapphireClient client = createClient(300, address)) {
            assertThatThrownBy(() -> client.callAt(address, ClientRequest.of("GET", "/x")))
                    .isInstanceOf(ClientException.class);
            assertThatThrownBy(() -> client.call(ClientRequest.of("GET", "/x")))
                    .isInstanceOf(ClientException.class);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"X No: v", "X-Note: v\r\n w", "Content-Length: x", "X-No\u0001te: v"})
    void generationContinuesAtAnotherAddress(String fields) throws Exception {
        String malformed = startServer(withFields(fields).replace("\"t\"", "\"spoilt\""));
        String sound = startServer(withFields("Content-Length: " + BODY.length()));
        for (int i = 0; i < 4; i++) {
            List<String> tokens = new ArrayList<>();
            try (SapphireClient client = createClient(5_000, malformed, sound)) {
                client.continueGeneration("g-1", 0, (id, offset, text) -> tokens.add(text));
            }
            assertThat(tokens).containsExactly("t");
        }
    }

    /** Chunks and trailers of a response count as its head does. */
    @ParameterizedTest
    @ValueSource(
            strings = {"+1\r\nx\r\n0\r\n\r\n", "1\r\nx\r\n0\r\nX No: v\r\n\r\n", "1\nx\r\n0\r\n"})
    void malformedChunksAreNoBody(String chunks) throws Exception {
        String address =
                startServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        try (SapphireClient client = createClient(300, address)) {
            assertThatThrownBy(() -> client.callAt(address, ClientRequest.of("GET", "/x")))
                    .isInstanceOf(ClientException.class);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200\r\ncontent-length:1\r\n\r\nx",
                "HTTP/1.1 103 \r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\n\nx",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: ,Chunked\r\n\r\n01 ;a=\"b\"\r\nx\r\n0\r\nT:\r\n\r\n"
            })
    void soundResponseOfUnusualLooksIsRead(String response) throws Exception {
        String address = startServer(response);
        try (SapphireClient client = createClient(300, address)) {
            assertThat(client.callAt(address, ClientRequest.of("GET", "/x")).body())
                    .asString()
                    .isEqualTo("x");
        }
    }
}

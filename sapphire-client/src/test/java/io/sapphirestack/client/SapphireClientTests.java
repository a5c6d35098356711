package io.sapphirestack.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.time.MillisClock;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.io.CloseMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that continue at the wrong offset after a broken connection, and against
 * retries of requests that may have been executed already.
 */
class SapphireClientTests {

    private final List<HttpServer> servers = new ArrayList<>();

    @AfterEach
    void stopServers() {
        servers.forEach(server -> server.close(CloseMode.IMMEDIATE));
    }

    @Test
    void continuesBrokenStreamWithNextOffset() throws Exception {
        List<String> lastEventIds = new ArrayList<>();
        HttpRequestHandler handler =
                (request, response, context) -> {
                    boolean isStart = request.getMethod().equals("POST");
                    if (!isStart) {
                        lastEventIds.add(request.getFirstHeader("Last-Event-ID").getValue());
                    }
                    respondWithStream(response, isStart ? 0 : 3, isStart ? 3 : 5, !isStart);
                };
        String first = startServer("/v1/*", handler);
        String second = startServer("/v1/*", handler);
        List<Long> offsets = new ArrayList<>();

        StreamResult result;
        try (SapphireClient client = createClient(30_000, first, second)) {
            result =
                    client.generate(
                            Map.of("model", "m"), "k1", (id, offset, text) -> offsets.add(offset));
        }

        assertThat(offsets).containsExactly(0L, 1L, 2L, 3L, 4L);
        assertThat(lastEventIds).containsExactly("2");
        assertThat(result.finishReason()).isEqualTo("length");
        assertThat(result.continuations()).isEqualTo(1);
    }

    @Test
    void rejectsStreamWithGap() throws Exception {
        String address =
                startServer(
                        "/v1/generations/*",
                        (request, response, context) -> respondWithStream(response, 1, 2, true));

        try (SapphireClient client = createClient(200, address)) {
            assertThatThrownBy(
                            () ->
                                    client.continueGeneration(
                                            "g-i1-1-1-a", 0, (id, offset, text) -> {}))
                    .isInstanceOf(ClientException.class)
                    .hasMessageContaining("expected offset 0 but got 1");
        }
    }

    @Test
    void retriesAtAnotherAddressIfRequestWasNotExecuted() throws Exception {
        String stale =
                startServer(
                        "/x",
                        (request, response, context) ->
                                respondWithRefusal(response, 503, "configuration_stale", "no"));
        String ready = startServer("/x", (request, response, context) -> response.setCode(204));

        try (SapphireClient client = createClient(30_000, stale, ready)) {
            for (int i = 0; i < 10; i++) {
                assertThat(client.call(ClientRequest.of("PUT", "/x")).status()).isEqualTo(204);
            }
        }
    }

    @Test
    void doesNotRetryRequestWithUnknownOutcome() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        HttpRequestHandler handler =
                (request, response, context) -> {
                    requestCount.incrementAndGet();
                    respondWithRefusal(response, 409, "outcome_unknown", "unknown");
                };
        String first = startServer("/x", handler);
        String second = startServer("/x", handler);

        try (SapphireClient client = createClient(30_000, first, second)) {
            assertThatThrownBy(() -> client.call(ClientRequest.of("POST", "/x")))
                    .isInstanceOfSatisfying(
                            ClientException.class,
                            e ->
                                    assertThat(e.problem().orElseThrow().executed())
                                            .isEqualTo("unknown"));
        }
        assertThat(requestCount).hasValue(1);
    }

    @Test
    void doesNotSendAQuarantinedRequestToOtherAddresses() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        HttpRequestHandler handler =
                (request, response, context) -> {
                    requestCount.incrementAndGet();
                    respondWithRefusal(response, 503, "request_quarantined", "no");
                };
        String first = startServer("/x", handler);
        String second = startServer("/x", handler);

        try (SapphireClient client = createClient(30_000, first, second)) {
            assertThatThrownBy(() -> client.call(ClientRequest.of("GET", "/x")))
                    .isInstanceOf(ClientException.class);
        }
        assertThat(requestCount).hasValue(1);
    }

    /** Guards against a client that asks again for an output that was ended. */
    @Test
    void failedGenerationEndsWithItsProblem() throws Exception {
        AtomicInteger requestCount = new AtomicInteger();
        String address =
                startServer(
                        "/v1/generations/*",
                        (request, response, context) -> {
                            requestCount.incrementAndGet();
                            response.setEntity(
                                    new StringEntity(
                                            "event: error\ndata: {\"status\":502,"
                                                    + "\"code\":\"generation_failed\"}\n\n"));
                        });

        try (SapphireClient client = createClient(2_000, address)) {
            assertThatThrownBy(
                            () ->
                                    client.continueGeneration(
                                            "g-i1-1-1-a", 0, (id, offset, text) -> {}))
                    .isInstanceOfSatisfying(
                            ClientException.class,
                            e ->
                                    assertThat(e.problem().orElseThrow().code())
                                            .isEqualTo("generation_failed"));
        }
        assertThat(requestCount).hasValue(1);
    }

    private SapphireClient createClient(long timeoutMs, String... addresses) {
        return new SapphireClient(
                new ClientOptions(List.of(addresses), "key", timeoutMs, 2_000),
                MillisClock.monotonic());
    }

    private String startServer(String path, HttpRequestHandler handler) throws IOException {
        HttpServer server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(InetAddress.getLoopbackAddress())
                        .setCanonicalHostName("127.0.0.1")
                        .register(path, handler)
                        .create();
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static void respondWithStream(
            ClassicHttpResponse response, int from, int to, boolean complete) {
        response.setCode(200);
        response.setHeader("Sapphire-Generation-Id", "g-i1-1-1-a");
        response.setEntity(
                new EntityTemplate(
                        -1,
                        ContentType.TEXT_EVENT_STREAM,
                        null,
                        out -> writeEvents(out, from, to, complete)));
    }

    private static void writeEvents(OutputStream out, int from, int to, boolean complete)
            throws IOException {
        StringBuilder events = new StringBuilder();
        for (int i = from; i < to; i++) {
            events.append("id: ").append(i).append("\ndata: {\"choices\":[{\"text\":\"t\"}]}\n\n");
        }
        if (complete) {
            events.append(
                    "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n");
        }
        out.write(events.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void respondWithRefusal(
            ClassicHttpResponse response, int status, String code, String executed) {
        response.setCode(status);
        response.setEntity(
                new StringEntity(
                        "{\"code\":\"" + code + "\",\"ran\":\"" + executed + "\"}",
                        ContentType.APPLICATION_PROBLEM_JSON));
    }
}

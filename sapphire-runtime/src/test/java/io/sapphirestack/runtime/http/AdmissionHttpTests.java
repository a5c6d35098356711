package io.sapphirestack.runtime.http;

import static io.sapphirestack.runtime.http.HttpTestServer.ACME_KEY;
import static io.sapphirestack.runtime.http.HttpTestServer.body;
import static io.sapphirestack.runtime.http.HttpTestServer.json;
import static io.sapphirestack.runtime.http.HttpTestServer.keyBody;
import static io.sapphirestack.runtime.http.HttpTestServer.record;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.blackboard.ConfigurationLease;
import io.sapphirestack.core.blackboard.Readiness;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.record.ConfigRecord;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of admission, authentication and size limits. Guards against requests that are admitted
 * with a stale configuration, with an invalid key, or above a size limit.
 */
@Timeout(180)
class AdmissionHttpTests {

    private static final String COMPLETION = "{\"model\":\"m1\",\"prompt\":\"p\"}";
    private static final String ORDERS = "/v1/services/ledger/orders";

    private HttpTestServer server;

    @BeforeEach
    void start() throws Exception {
        server = new HttpTestServer();
    }

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void staleInstanceRefusesNewRequestsButContinuesGenerations() throws Exception {
        server.generations.append("a");
        server.generations.finish();
        server.blackboard.configurationLease().publish(new ConfigurationLease(0));

        assertRefusedNotExecuted(completion(), 503, "configuration_stale");
        assertRefusedNotExecuted(order(), 503, "configuration_stale");
        assertRefusedNotExecuted(
                server.get("/v1/services/ledger/read/a", ACME_KEY), 503, "configuration_stale");
        assertRefusedNotExecuted(server.get("/ready", ""), 503, "configuration_stale");
        assertThat(server.generations.accepted()).isEmpty();
        assertThat(server.orders).isEmpty();
        assertThat(server.reads).isEmpty();
        assertThat(
                        server.get(
                                        "/v1/generations/" + FakeGenerationService.ID + "/stream",
                                        ACME_KEY)
                                .body())
                .contains("[DONE]");
    }

    @Test
    void staleReadsAreServedOnlyWithinTheLimitOfTheService() throws Exception {
        ConfigRecord service =
                record(
                        "service",
                        "ledger",
                        7,
                        HttpTestServer.defaultRecords()
                                .get(3)
                                .body()
                                .toString()
                                .replace("}", ",\"staleReadLimitMs\":60000}"));
        List<ConfigRecord> records = HttpTestServer.defaultRecords().subList(0, 3);
        server.publish(
                11,
                List.of(HttpTestServer.SELF),
                List.of(),
                HttpTestServer.append(records, service));
        server.blackboard
                .configurationLease()
                .publish(new ConfigurationLease(System.nanoTime() / 1_000_000 - 1));
        assertThat(server.get("/v1/services/ledger/read/a", ACME_KEY).statusCode()).isEqualTo(200);
        assertRefusedNotExecuted(order(), 503, "configuration_stale");
        server.clockOffsetMs.set(60_000);
        assertRefusedNotExecuted(
                server.get("/v1/services/ledger/read/a", ACME_KEY), 503, "configuration_stale");
    }

    @Test
    void leavingInstanceStillAdmitsAndDrainingInstanceRefuses() throws Exception {
        server.generations.finish();
        server.blackboard.readiness().publish(Readiness.LEAVING);
        assertThat(completion().statusCode()).isEqualTo(200);
        assertRefusedNotExecuted(server.get("/ready", ""), 503, "not_ready");
        server.blackboard.readiness().publish(Readiness.DRAINING);
        assertRefusedNotExecuted(completion(), 503, "not_ready");
        assertRefusedNotExecuted(order(), 503, "not_ready");
    }

    @Test
    void startingInstanceRefusesWithNotReadyInsteadOfUnauthorized() throws Exception {
        server.blackboard.readiness().publish(Readiness.STARTING);
        assertRefusedNotExecuted(completion(), 503, "not_ready");
        assertThat(server.get("/health", "").statusCode()).isEqualTo(200);
    }

    @Test
    void wrongAndMissingKeysAreUnauthorized() throws Exception {
        assertRefusedNotExecuted(
                server.send(server.request("/v1/completions", "wrong").POST(body(COMPLETION))),
                401,
                "unauthorized");
        assertRefusedNotExecuted(
                server.send(server.request("/v1/completions", "").POST(body(COMPLETION))),
                401,
                "unauthorized");
        assertRefusedNotExecuted(server.get("/admin/v1/records", ACME_KEY), 401, "unauthorized");
    }

    @Test
    void changedKeyStopsWorkingWithTheNextView() throws Exception {
        server.generations.finish();
        assertThat(completion().statusCode()).isEqualTo(200);
        List<ConfigRecord> changed =
                List.of(record("account", "acme", 20, keyBody("keyHash", "new key")));
        server.publish(20, List.of(HttpTestServer.SELF), List.of(), changed);
        assertRefusedNotExecuted(completion(), 401, "unauthorized");
        assertThat(
                        server.send(
                                        server.request("/v1/completions", "new key")
                                                .POST(body(COMPLETION)))
                                .statusCode())
                .isEqualTo(200);
        server.publish(21, List.of(HttpTestServer.SELF), List.of(), List.of());
        assertRefusedNotExecuted(
                server.send(server.request("/v1/completions", "new key").POST(body(COMPLETION))),
                401,
                "unauthorized");
    }

    /** The order has run, so its response must not be lost for a content type of any form. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "text/plain; charset=none-such",
                "text/plain; charset=\u0001",
                "no type; ;=",
                "text/plain; n=\u00c9\u009b"
            })
    void orderWithAnyContentTypeGetsItsResponse(String contentType) throws Exception {
        server.contentType = contentType;

        HttpResponse<String> response = order();

        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("content");
    }

    /** Responses of endpoints must not take more memory than there is, however many are sent. */
    @Test
    void readWhoseResponseFindsNoMemoryIsRefused() throws Exception {
        server.responseBytes = (int) HttpTestServer.MEMORY_BYTES;
        HttpResponse<String> refused = server.get("/v1/services/ledger/read/x", ACME_KEY);
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(json(refused).path("code").asText()).isEqualTo("memory_exhausted");

        server.responseBytes = (int) HttpTestServer.MEMORY_BYTES / 2;
        for (int i = 0; i < 3; i++) {
            HttpResponse<String> served = server.get("/v1/services/ledger/read/x", ACME_KEY);
            assertThat(served.body()).hasSize(server.responseBytes);
        }
    }

    @Test
    void orderAndItsOutcomeAreMappedToResponses() throws Exception {
        HttpResponse<String> response = order();
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(response.body()).isEqualTo("content");
        assertThat(response.headers().firstValue("Sapphire-Run")).hasValue("yes");
        assertThat(server.orders.get(0).key().key()).isEqualTo("k/1");

        assertRefusedNotExecuted(server.get(ORDERS + "/k%2F1", ACME_KEY), 404, "not_found");
        server.outcome = new ControlResult.OrderReserved(HttpTestServer.PEER, "n", "h");
        HttpResponse<String> reserved = server.get(ORDERS + "/k%2F1", ACME_KEY);
        assertThat(reserved.statusCode()).isEqualTo(202);
        assertThat(json(reserved).path("holder").asText()).isEqualTo("i2/4");
        server.outcome = new ControlResult.OrderDone("h", 200, "t", new byte[] {1, 2});
        HttpResponse<String> done = server.get(ORDERS + "/k%2F1", ACME_KEY);
        assertThat(json(done).path("answer").binaryValue()).containsExactly(1, 2);
    }

    @Test
    void orderNeedsAKeyAndAKnownService() throws Exception {
        assertRefusedNotExecuted(
                server.send(server.request(ORDERS, ACME_KEY).POST(body("x"))), 400, "bad_request");
        assertRefusedNotExecuted(
                server.send(
                        server.request("/v1/services/none/orders", ACME_KEY)
                                .header("Idempotency-Key", "k")
                                .POST(body("x"))),
                404,
                "not_found");
        assertRefusedNotExecuted(
                server.send(
                        server.request(ORDERS, ACME_KEY)
                                .header("Idempotency-Key", "k".repeat(257))
                                .POST(body("x"))),
                400,
                "bad_request");
        assertThat(server.orders).isEmpty();
    }

    @Test
    void eventsAreCountedAgainstTheObjectivesOfTheService() throws Exception {
        server.get("/v1/services/ledger/read/a", ACME_KEY);
        order();
        HttpResponse<String> burn = server.get("/admin/v1/burn", HttpTestServer.READER_KEY);
        assertThat(json(burn).path("instance").asText()).isEqualTo("i1");
        assertThat(json(burn).at("/counts/0/objective").asText()).isEqualTo("READ_LATENCY");
        assertThat(json(burn).at("/counts/1/objective").asText()).isEqualTo("ORDER_OUTCOME");
        assertThat(json(burn).at("/counts/1/windows/ONE_HOUR/good").asInt()).isEqualTo(1);
    }

    @Test
    void readPassesPathAndQueryUnchanged() throws Exception {
        server.get("/v1/services/ledger/read/a%2Fb/c?x=1&y=%20", ACME_KEY);
        assertThat(server.reads).containsExactly("a%2Fb/c?x=1&y=%20");
    }

    @Test
    void largeBodiesAndHeadersAreRefused() throws Exception {
        String large = "x".repeat(64 * 1024 + 1);
        HttpResponse<String> known =
                server.send(
                        server.request(ORDERS, ACME_KEY)
                                .header("Idempotency-Key", "k")
                                .POST(body(large)));
        assertRefusedNotExecuted(known, 413, "body_too_large");
        HttpResponse<String> chunked =
                server.send(
                        server.request(ORDERS, ACME_KEY)
                                .header("Idempotency-Key", "k")
                                .POST(
                                        java.net.http.HttpRequest.BodyPublishers.ofInputStream(
                                                () ->
                                                        new java.io.ByteArrayInputStream(
                                                                large.getBytes()))));
        assertRefusedNotExecuted(chunked, 413, "body_too_large");
        assertThat(server.orders).isEmpty();
        var headers = server.request("/health", "");
        for (int i = 0; i < 20; i++) {
            headers.header("x-" + i, "v".repeat(1_000));
        }
        assertRefusedNotExecuted(server.send(headers), 413, "body_too_large");
    }

    @Test
    void invalidHttpGetsAResponseAndDoesNotStopTheServer() throws Exception {
        String address = server.frontend.address();
        int colon = address.lastIndexOf(':');
        try (Socket socket =
                new Socket(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)))) {
            OutputStream out = socket.getOutputStream();
            out.write("\u0001\u0002 nonsense\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(response).startsWith("HTTP/1.1 400").contains("\"code\":\"bad_request\"");
        }
        assertThat(server.get("/health", "").statusCode()).isEqualTo(200);
    }

    @Test
    void unexpectedFailureIsReportedWithUnknownExecution() throws Exception {
        server.readFailure = new IllegalArgumentException("test");
        HttpResponse<String> response = server.get("/v1/services/ledger/read/a", ACME_KEY);
        assertThat(response.statusCode()).isEqualTo(500);
        assertThat(json(response).path("ran").asText()).isEqualTo("unknown");
    }

    @Test
    void unknownPathIsNotFoundAndMetricsCountIt() throws Exception {
        assertRefusedNotExecuted(server.get("/v2/nothing", ""), 404, "not_found");
        assertThat(server.get("/metrics", "").body())
                .contains("sapphire_http_requests_total{route=\"none\",status=\"404\"} 1.0")
                .contains("jvm_memory");
    }

    private HttpResponse<String> completion() throws Exception {
        return server.send(server.request("/v1/completions", ACME_KEY).POST(body(COMPLETION)));
    }

    private HttpResponse<String> order() throws Exception {
        return server.send(
                server.request(ORDERS, ACME_KEY)
                        .header("Idempotency-Key", "k/1")
                        .POST(body("content")));
    }

    private static void assertRefusedNotExecuted(
            HttpResponse<String> response, int status, String code) throws Exception {
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("Content-Type"))
                .hasValue("application/problem+json");
        assertThat(json(response).path("code").asText()).isEqualTo(code);
        assertThat(json(response).path("ran").asText()).isEqualTo("no");
        if (status == 503) {
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
        }
    }

    /**
     * Guards against a delay of seconds for callers that send {@code Expect: 100-continue}, which
     * hold back the body until they receive the interim response.
     */
    @Test
    void interimResponseIsSentBeforeTheBodyArrives() throws Exception {
        String address = server.frontend.address();
        int colon = address.lastIndexOf(':');
        try (Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout(30_000);
            String head =
                    "POST /v1/services/ledger/orders HTTP/1.1\r\nHost: "
                            + address
                            + "\r\nAuthorization: Bearer "
                            + HttpTestServer.ACME_KEY
                            + "\r\nIdempotency-Key: k\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            assertThat(reader.readLine()).startsWith("HTTP/1.1 100");
        }
    }

    /**
     * Guards against a body that stops arriving and is reported as an unexpected failure, or whose
     * refusal is held back while the rest of it is awaited.
     */
    @Test
    void bodyThatStopsArrivingIsRefusedAsNotExecuted() throws Exception {
        String address = server.frontend.address();
        int colon = address.lastIndexOf(':');
        try (Socket socket =
                new Socket("127.0.0.1", Integer.parseInt(address.substring(colon + 1)))) {
            // The body has 15 s; with as much for its rest, the response would come after 30 s.
            socket.setSoTimeout(25_000);
            String request =
                    "POST /v1/services/ledger/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "
                            + HttpTestServer.ACME_KEY
                            + "\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\na";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).startsWith("HTTP/1.1 408").contains("\"ran\":\"no\"");
        }
        assertThat(server.orders).isEmpty();
    }
}

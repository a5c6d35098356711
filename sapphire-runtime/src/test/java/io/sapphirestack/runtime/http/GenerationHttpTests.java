package io.sapphirestack.runtime.http;

import static io.sapphirestack.runtime.http.HttpTestServer.ACME_KEY;
import static io.sapphirestack.runtime.http.HttpTestServer.OTHER_KEY;
import static io.sapphirestack.runtime.http.HttpTestServer.body;
import static io.sapphirestack.runtime.http.HttpTestServer.json;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests of completions and token streams. Guards against streams with missing or duplicate tokens
 * and against tokens that are delivered to another client account.
 */
@Timeout(180)
class GenerationHttpTests {

    private static final String STREAM_REQUEST =
            "{\"model\":\"m1\",\"prompt\":\"p\",\"stream\":true}";
    private static final String JSON_REQUEST = "{\"model\":\"m1\",\"prompt\":\"p\"}";
    private static final long TIMEOUT_S = 60;

    private final HttpTestServer server = newServer();

    private static HttpTestServer newServer() {
        try {
            return new HttpTestServer();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void streamCarriesEveryTokenOnceInOrderAndEndsWithDone() throws Exception {
        HttpResponse<Stream<String>> response = openStream("/v1/completions", STREAM_REQUEST);
        Iterator<String> lines = response.body().iterator();
        server.generations.append("a ", "b\n", "\u00e9");
        assertThat(nextTokenEvent(lines)).isEqualTo("0:a ");
        assertThat(nextTokenEvent(lines)).isEqualTo("1:b\n");
        server.generations.append("d");
        server.generations.finish();
        assertThat(nextTokenEvent(lines)).isEqualTo("2:\u00e9");
        assertThat(nextTokenEvent(lines)).isEqualTo("3:d");
        List<String> rest = new ArrayList<>();
        lines.forEachRemaining(rest::add);

        assertThat(response.headers().firstValue("Sapphire-Generation-Id"))
                .hasValue(FakeGenerationService.ID.value());
        assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
        assertThat(rest.stream().filter(line -> line.startsWith("data: ")))
                .hasSize(2)
                .anyMatch(line -> line.contains("\"finish_reason\":\"length\""))
                .last()
                .isEqualTo("data: [DONE]");
    }

    @Test
    void streamWithoutTokensCarriesKeepAlives() throws Exception {
        Iterator<String> lines = openStream("/v1/completions", STREAM_REQUEST).body().iterator();
        assertThat(lines.next()).isEqualTo(": keep-alive");
        server.generations.append("t");
        assertThat(nextTokenEvent(lines)).isEqualTo("0:t");
    }

    @Test
    void resumedStreamStartsAfterTheLastEvent() throws Exception {
        server.generations.append("a", "b", "c", "d");
        server.generations.finish();
        assertThat(offsets("?from=2", "")).isEqualTo("2,3");
        assertThat(offsets("", "")).isEqualTo("0,1,2,3");
        assertThat(offsets("", "0")).isEqualTo("1,2,3");
        // A browser reconnects with the original URL, so the header must take precedence.
        assertThat(offsets("?from=0", "2")).isEqualTo("3");
        assertThat(offsets("", "3")).isEmpty();
    }

    private String offsets(String query, String lastEventId) throws Exception {
        var request =
                server.request(
                        "/v1/generations/" + FakeGenerationService.ID + "/stream" + query,
                        ACME_KEY);
        if (!lastEventId.isEmpty()) {
            request.header("Last-Event-ID", lastEventId);
        }
        HttpResponse<String> response = server.send(request);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        return response.body()
                .lines()
                .filter(line -> line.startsWith("id: "))
                .map(line -> line.substring(4))
                .collect(Collectors.joining(","));
    }

    @Test
    void offsetBeyondTheCommittedTokensIsRefusedWith416() throws Exception {
        HttpResponse<String> response =
                server.get(
                        "/v1/generations/" + FakeGenerationService.ID + "/stream?from=9", ACME_KEY);
        assertThat(response.statusCode()).isEqualTo(416);
        assertThat(json(response).path("code").asText()).isEqualTo("offset_out_of_range");
    }

    @Test
    void otherAccountsCannotReadOrCancelAGeneration() throws Exception {
        server.generations.append("secret");
        String path = "/v1/generations/" + FakeGenerationService.ID;
        for (String suffix : List.of("", "/stream")) {
            HttpResponse<String> response = server.get(path + suffix, OTHER_KEY);
            assertThat(response.statusCode()).isEqualTo(404);
            assertThat(response.body()).doesNotContain("secret");
        }
        assertThat(server.send(server.request(path, OTHER_KEY).DELETE()).statusCode())
                .isEqualTo(404);
        assertThat(server.generations.cancelled()).isFalse();
        assertThat(server.send(server.request(path, ACME_KEY).DELETE()).statusCode())
                .isEqualTo(204);
        assertThat(server.generations.cancelled()).isTrue();
    }

    @Test
    void temporarilyUnreachableGenerationDoesNotEndTheStream() throws Exception {
        Iterator<String> lines = openStream("/v1/completions", STREAM_REQUEST).body().iterator();
        server.generations.append("a");
        assertThat(nextTokenEvent(lines)).isEqualTo("0:a");
        server.generations.failNextFetch("generation_unreachable", 503);
        server.generations.append("b");
        assertThat(nextTokenEvent(lines)).isEqualTo("1:b");
    }

    @Test
    void lostGenerationEndsTheStreamWithAnErrorAndWithoutDone() throws Exception {
        HttpResponse<Stream<String>> response = openStream("/v1/completions", STREAM_REQUEST);
        server.generations.failNextFetch("generation_lost", 410);
        List<String> lines = response.body().collect(Collectors.toList());
        assertThat(lines).contains("event: error").doesNotContain("data: [DONE]");
        assertThat(String.join("\n", lines)).contains("\"code\":\"generation_lost\"");
    }

    @Test
    void shortCompletionIsOneJsonObject() throws Exception {
        server.generations.append("x", "\"y\"");
        server.generations.finish();
        JsonNode completion = json(server.send(post(JSON_REQUEST)));
        assertThat(completion.at("/choices/0/text").asText()).isEqualTo("x\"y\"");
        assertThat(completion.at("/choices/0/finish_reason").asText()).isEqualTo("length");
        assertThat(completion.at("/usage/completion_tokens").asInt()).isEqualTo(2);
    }

    @Test
    void longCompletionIsTheSameJsonObjectWrittenInChunks() throws Exception {
        String[] tokens =
                IntStream.range(0, 30_000).mapToObj(i -> "w" + i + "\n").toArray(String[]::new);
        server.generations.append(tokens);
        server.generations.finish();
        HttpResponse<String> response = server.send(post(JSON_REQUEST));
        JsonNode completion = json(response);
        assertThat(response.headers().firstValue("Transfer-Encoding")).hasValue("chunked");
        assertThat(completion.at("/choices/0/text").asText()).isEqualTo(String.join("", tokens));
        assertThat(completion.at("/usage/completion_tokens").asInt()).isEqualTo(30_000);
    }

    @Test
    void deadlineEndsTheWaitButNotTheGeneration() throws Exception {
        HttpResponse<String> response =
                server.send(post(JSON_REQUEST).header("Sapphire-Deadline-Ms", "1"));
        assertThat(response.statusCode()).isEqualTo(504);
        assertThat(json(response).path("ran").asText()).isEqualTo("unknown");
        assertThat(response.headers().firstValue("Sapphire-Generation-Id")).isPresent();
    }

    @Test
    void requestIsForwardedWithDefaultValues() throws Exception {
        server.generations.finish();
        server.send(post(JSON_REQUEST).header("Idempotency-Key", "k1"));
        var accepted = server.generations.accepted().get(0);
        assertThat(accepted.maxTokens()).isEqualTo(256);
        assertThat(accepted.account().value()).isEqualTo("acme");
        assertThat(accepted.idempotencyKey()).hasValue("k1");
    }

    @Test
    void problemDetailNamesTheInvalidField() throws Exception {
        for (String invalid :
                List.of(
                        "{\"prompt\":\"p\"}#model",
                        "{\"model\":\"m\",\"prompt\":1}#prompt",
                        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}#max_tokens",
                        "{\"model\":\"m\",\"prompt\":\"p\",\"seed\":1.5}#seed",
                        "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}#stream",
                        "[1]#object",
                        "{#JSON")) {
            String[] parts = invalid.split("#");
            HttpResponse<String> response = server.send(post(parts[0]));
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(json(response).path("detail").asText()).contains(parts[1]);
        }
        assertThat(server.generations.accepted()).isEmpty();
    }

    @Test
    void readsAreServedWhileAllStreamPermitsAreTaken() throws Exception {
        List<HttpResponse<Stream<String>>> streams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            streams.add(openStream("/v1/completions", STREAM_REQUEST));
        }
        HttpResponse<String> refused = server.send(post(STREAM_REQUEST));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(json(refused).path("code").asText()).isEqualTo("overloaded");
        assertThat(json(refused).path("ran").asText()).isEqualTo("no");
        assertThat(server.generations.accepted()).hasSize(8);
        assertThat(server.get("/v1/services/ledger/read/a", ACME_KEY).statusCode()).isEqualTo(200);
        // A released permit can be acquired again.
        server.generations.finish();
        streams.forEach(stream -> stream.body().forEach(line -> {}));
        HttpResponse<String> again = server.send(post(STREAM_REQUEST));
        for (int attempts = 0; again.statusCode() == 503 && attempts < 10_000; attempts++) {
            again = server.send(post(STREAM_REQUEST));
        }
        assertThat(again.statusCode()).isEqualTo(200);
    }

    @Test
    void callerThatNeverReadsIsBufferedOnlyInSocketBuffers() throws Exception {
        String[] tokens = new String[200_000];
        java.util.Arrays.fill(tokens, "0123456789".repeat(10));
        server.generations.append(tokens);
        server.generations.finish();
        String address = server.frontend.address();
        int colon = address.lastIndexOf(':');
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(
                    new java.net.InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))));
            String request =
                    "GET /v1/generations/"
                            + FakeGenerationService.ID
                            + "/stream HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + ACME_KEY
                            + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes());
            // The tokens fetched before the caller reads fit into the socket buffers; the whole
            // output is larger than 40 MB.
            long fetchedOffset = -1;
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (server.generations.highestFetchedOffset() != fetchedOffset) {
                fetchedOffset = server.generations.highestFetchedOffset();
                assertThat(server.get("/health", "").statusCode()).isEqualTo(200);
                for (int i = 0; i < 200; i++) {
                    server.get("/health", "");
                }
                assertThat(System.nanoTime()).isLessThan(deadline);
            }
            assertThat(fetchedOffset).isLessThan(100_000);
        }
    }

    private java.net.http.HttpRequest.Builder post(String body) {
        return server.request("/v1/completions", ACME_KEY).POST(body(body));
    }

    private HttpResponse<Stream<String>> openStream(String path, String body) throws Exception {
        HttpResponse<Stream<String>> response =
                server.sendAsync(server.request(path, ACME_KEY).POST(body(body)))
                        .get(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(response.statusCode()).isEqualTo(200);
        return response;
    }

    /** Returns offset and text of the next token event, skipping keep-alives. */
    private static String nextTokenEvent(Iterator<String> lines) throws Exception {
        String id = "";
        while (lines.hasNext()) {
            String line = lines.next();
            if (line.startsWith("id: ")) {
                id = line.substring(4);
            } else if (line.startsWith("data: ")) {
                JsonNode chunk = HttpTestServer.JSON.readTree(line.substring(6));
                return id + ":" + chunk.at("/choices/0/text").asText();
            }
        }
        throw new AssertionError("the stream ended without another token event");
    }
}

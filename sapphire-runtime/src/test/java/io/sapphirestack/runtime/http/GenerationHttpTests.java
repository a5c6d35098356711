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

/** Guards against streams with missing, repeated or foreign tokens. */
@Timeout(180)
class GenerationHttpTests {

    private static final String STREAM = "{\"model\":\"m1\",\"prompt\":\"p\",\"stream\":true}";
    private static final String WHOLE = "{\"model\":\"m1\",\"prompt\":\"p\"}";
    private static final long LONG_S = 60;

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
        HttpResponse<Stream<String>> response = openStream("/v1/completions", STREAM);
        Iterator<String> lines = response.body().iterator();
        server.generations.append("a ", "b\n", "\u00e9");
        assertThat(nextData(lines)).isEqualTo("0:a ");
        assertThat(nextData(lines)).isEqualTo("1:b\n");
        server.generations.append("d");
        server.generations.finish();
        assertThat(nextData(lines)).isEqualTo("2:\u00e9");
        assertThat(nextData(lines)).isEqualTo("3:d");
        List<String> rest = new ArrayList<>();
        lines.forEachRemaining(rest::add);

        assertThat(response.headers().firstValue("Sapphire-Generation-Id"))
                .hasValue(FakeGenerations.ID.value());
        assertThat(response.headers().firstValue("Content-Type")).hasValue("text/event-stream");
        assertThat(rest.stream().filter(line -> line.startsWith("data: ")))
                .hasSize(2)
                .anyMatch(line -> line.contains("\"finish_reason\":\"length\""))
                .last()
                .isEqualTo("data: [DONE]");
    }

    @Test
    void quietStreamCarriesKeepAlives() throws Exception {
        Iterator<String> lines = openStream("/v1/completions", STREAM).body().iterator();
        assertThat(lines.next()).isEqualTo(": keep-alive");
        server.generations.append("t");
        assertThat(nextData(lines)).isEqualTo("0:t");
    }

    @Test
    void continuedStreamStartsAfterTheLastEvent() throws Exception {
        server.generations.append("a", "b", "c", "d");
        server.generations.finish();
        assertThat(offsets("?from=2", "")).isEqualTo("2,3");
        assertThat(offsets("", "")).isEqualTo("0,1,2,3");
        assertThat(offsets("", "0")).isEqualTo("1,2,3");
        // A browser repeats the first URL when it reconnects, so the header must win.
        assertThat(offsets("?from=0", "2")).isEqualTo("3");
        assertThat(offsets("", "3")).isEmpty();
    }

    private String offsets(String query, String lastEventId) throws Exception {
        var request =
                server.request(
                        "/v1/generations/" + FakeGenerations.ID + "/stream" + query, ACME_KEY);
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
    void offsetBeyondTheCommittedTokensIsRefusedWithItsStatus() throws Exception {
        HttpResponse<String> response =
                server.get("/v1/generations/" + FakeGenerations.ID + "/stream?from=9", ACME_KEY);
        assertThat(response.statusCode()).isEqualTo(416);
        assertThat(json(response).path("code").asText()).isEqualTo("offset_out_of_range");
    }

    @Test
    void otherAccountsSeeNothing() throws Exception {
        server.generations.append("secret");
        String path = "/v1/generations/" + FakeGenerations.ID;
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
    void shortInterruptionDoesNotEndTheStream() throws Exception {
        Iterator<String> lines = openStream("/v1/completions", STREAM).body().iterator();
        server.generations.append("a");
        assertThat(nextData(lines)).isEqualTo("0:a");
        server.generations.failNextFetch("generation_unreachable", 503);
        server.generations.append("b");
        assertThat(nextData(lines)).isEqualTo("1:b");
    }

    @Test
    void lostGenerationEndsTheStreamWithAnErrorAndWithoutDone() throws Exception {
        HttpResponse<Stream<String>> response = openStream("/v1/completions", STREAM);
        server.generations.failNextFetch("generation_lost", 410);
        List<String> lines = response.body().collect(Collectors.toList());
        assertThat(lines).contains("event: error").doesNotContain("data: [DONE]");
        assertThat(String.join("\n", lines)).contains("\"code\":\"generation_lost\"");
    }

    @Test
    void shortAnswerIsOneObject() throws Exception {
        server.generations.append("x", "\"y\"");
        server.generations.finish();
        JsonNode answer = json(server.send(post(WHOLE)));
        assertThat(answer.at("/choices/0/text").asText()).isEqualTo("x\"y\"");
        assertThat(answer.at("/choices/0/finish_reason").asText()).isEqualTo("length");
        assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(2);
    }

    @Test
    void longAnswerIsTheSameObjectWrittenInParts() throws Exception {
        String[] tokens =
                IntStream.range(0, 30_000).mapToObj(i -> "w" + i + "\n").toArray(String[]::new);
        server.generations.append(tokens);
        server.generations.finish();
        HttpResponse<String> response = server.send(post(WHOLE));
        JsonNode answer = json(response);
        assertThat(response.headers().firstValue("Transfer-Encoding")).hasValue("chunked");
        assertThat(answer.at("/choices/0/text").asText()).isEqualTo(String.join("", tokens));
        assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(30_000);
    }

    @Test
    void deadlineEndsTheWaitButNotTheGeneration() throws Exception {
        HttpResponse<String> response =
                server.send(post(WHOLE).header("Sapphire-Deadline-Ms", "1"));
        assertThat(response.statusCode()).isEqualTo(504);
        assertThat(json(response).path("ran").asText()).isEqualTo("unknown");
        assertThat(response.headers().firstValue("Sapphire-Generation-Id")).isPresent();
    }

    @Test
    void requestIsPassedOnWithItsDefaults() throws Exception {
        server.generations.finish();
        server.send(post(WHOLE).header("Idempotency-Key", "k1"));
        var accepted = server.generations.accepted().get(0);
        assertThat(accepted.maxTokens()).isEqualTo(256);
        assertThat(accepted.account().value()).isEqualTo("acme");
        assertThat(accepted.idempotencyKey()).hasValue("k1");
    }

    @Test
    void wrongFieldsAreNamed() throws Exception {
        for (String wrong :
                List.of(
                        "{\"prompt\":\"p\"}#model",
                        "{\"model\":\"m\",\"prompt\":1}#prompt",
                        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}#max_tokens",
                        "{\"model\":\"m\",\"prompt\":\"p\",\"seed\":1.5}#seed",
                        "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}#stream",
                        "[1]#object",
                        "{#JSON")) {
            String[] parts = wrong.split("#");
            HttpResponse<String> response = server.send(post(parts[0]));
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(json(response).path("detail").asText()).contains(parts[1]);
        }
        assertThat(server.generations.accepted()).isEmpty();
    }

    @Test
    void readsAreServedWhileAllStreamsAreTaken() throws Exception {
        List<HttpResponse<Stream<String>>> streams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            streams.add(openStream("/v1/completions", STREAM));
        }
        HttpResponse<String> refused = server.send(post(STREAM));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(json(refused).path("code").asText()).isEqualTo("overloaded");
        assertThat(json(refused).path("ran").asText()).isEqualTo("no");
        assertThat(server.generations.accepted()).hasSize(8);
        assertThat(server.get("/v1/services/ledger/read/a", ACME_KEY).statusCode()).isEqualTo(200);
        // A place that was given back is usable again.
        server.generations.finish();
        streams.forEach(stream -> stream.body().forEach(line -> {}));
        HttpResponse<String> again = server.send(post(STREAM));
        for (int tries = 0; again.statusCode() == 503 && tries < 10_000; tries++) {
            again = server.send(post(STREAM));
        }
        assertThat(again.statusCode()).isEqualTo(200);
    }

    @Test
    void callerThatNeverReadsHoldsOnlyWhatTheSocketBuffersHold() throws Exception {
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
                            + FakeGenerations.ID
                            + "/stream HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                            + ACME_KEY
                            + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes());
            // Whatever was pulled before the caller reads again fits the socket buffers; the whole
            // output has over 40 MB.
            long pulled = -1;
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONG_S);
            while (server.generations.highestOffsetAsked() != pulled) {
                pulled = server.generations.highestOffsetAsked();
                assertThat(server.get("/health", "").statusCode()).isEqualTo(200);
                for (int i = 0; i < 200; i++) {
                    server.get("/health", "");
                }
                assertThat(System.nanoTime()).isLessThan(deadline);
            }
            assertThat(pulled).isLessThan(100_000);
        }
    }

    private java.net.http.HttpRequest.Builder post(String body) {
        return server.request("/v1/completions", ACME_KEY).POST(body(body));
    }

    private HttpResponse<Stream<String>> openStream(String path, String body) throws Exception {
        HttpResponse<Stream<String>> response =
                server.open(server.request(path, ACME_KEY).POST(body(body)))
                        .get(LONG_S, TimeUnit.SECONDS);
        assertThat(response.statusCode()).isEqualTo(200);
        return response;
    }

    /** Returns offset and text of the next token event, skipping keep-alives. */
    private static String nextData(Iterator<String> lines) throws Exception {
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
        throw new AssertionError("the stream ended");
    }
}

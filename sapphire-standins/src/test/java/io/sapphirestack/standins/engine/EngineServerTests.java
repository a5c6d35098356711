package io.sapphirestack.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.standins.support.BufferedHttpResponse;
import io.sapphirestack.standins.support.JsonSupport;
import io.sapphirestack.standins.support.SseEvent;
import io.sapphirestack.standins.support.SseReader;
import io.sapphirestack.standins.support.StandInClientConnection;
import io.sapphirestack.standins.weights.WeightServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an engine whose HTTP interface deviates from the contract: streams, re-attachment,
 * cancellation, refusals and orders.
 */
class EngineServerTests {

    private static final ModelPin PIN = new ModelPin("base", "", "1");
    private static final int TIMEOUT_MS = 10_000;

    private EngineServer engine;
    private WeightServer weights;

    @BeforeEach
    void start() throws IOException {
        weights = WeightServer.start("127.0.0.1:0", 100_000_000);
        engine =
                EngineServer.start(
                        EngineOptions.FAST,
                        "127.0.0.1:0",
                        List.of(PIN),
                        weights.address(),
                        () -> {});
    }

    @AfterEach
    void stop() {
        engine.close();
        weights.close();
    }

    private static byte[] request(String generation, int maxTokens) {
        return JsonSupport.toBytes(
                Map.of(
                        "generation",
                        generation,
                        "attempt",
                        1,
                        "model",
                        PIN,
                        "seed",
                        7,
                        "prompt",
                        "a prompt",
                        "maxTokens",
                        maxTokens,
                        "priority",
                        5));
    }

    private BufferedHttpResponse call(String method, String path, byte[] body) throws IOException {
        return StandInClientConnection.sendOnNewConnection(
                engine.address(), TIMEOUT_MS, method, path, Map.of(), body);
    }

    private List<SseEvent> read(String method, String path, byte[] body, int limit)
            throws IOException {
        List<SseEvent> events = new ArrayList<>();
        try (StandInClientConnection connection =
                StandInClientConnection.connect(engine.address(), TIMEOUT_MS, TIMEOUT_MS)) {
            ClassicHttpResponse response = connection.sendRequest(method, path, Map.of(), body);
            assertThat(response.getCode()).isEqualTo(200);
            SseReader reader = new SseReader(response.getEntity().getContent());
            Optional<SseEvent> event = reader.readNext();
            while (event.isPresent() && events.size() < limit) {
                if (!event.get().comment()) {
                    events.add(event.get());
                }
                event = reader.readNext();
            }
        }
        return events;
    }

    private static void assertTokens(List<SseEvent> events, int from) throws IOException {
        ExpectedOutput expected = ExpectedOutput.of("a prompt", 7);
        int offset = from;
        for (SseEvent event : events) {
            if (event.event().isEmpty()) {
                assertThat(event.id()).isEqualTo(Integer.toString(offset));
                assertThat(
                                JsonSupport.readTree(event.data().getBytes("UTF-8"))
                                        .path("token")
                                        .asText())
                        .isEqualTo(expected.token(offset));
                offset++;
            }
        }
    }

    @Test
    void streamContinuesAfterItsConnectionClosesAndCanBeReadAgain() throws IOException {
        assertTokens(read("POST", "/v1/streams", request("g1", 40), 5), 0);
        List<SseEvent> rest = read("GET", "/v1/streams/g1/1?from=5", null, 100);
        assertTokens(rest, 5);
        assertThat(rest).hasSize(36);
        assertThat(rest.get(35).event()).isEqualTo("end");
        assertThat(rest.get(35).data()).contains("\"finishReason\":\"length\"");
    }

    @Test
    void cancelledStreamEnds() throws IOException {
        read("POST", "/v1/streams", request("g2", 1_000_000), 3);
        assertThat(call("DELETE", "/v1/streams/g2/1", null).status()).isEqualTo(204);
        List<SseEvent> all = read("GET", "/v1/streams/g2/1", null, 1_000_000);
        assertThat(all.get(all.size() - 1).data()).contains("cancelled");
    }

    @Test
    void refusalIsMarkedAsNotRun() throws IOException {
        BufferedHttpResponse malformed = call("POST", "/v1/streams", "{}".getBytes("UTF-8"));
        assertThat(malformed.status()).isEqualTo(400);
        assertThat(malformed.headers()).containsEntry("Sapphire-Run", "not-run");
        assertThat(call("GET", "/v1/streams/none/1", null).status()).isEqualTo(404);
    }

    @Test
    void loadOrderFetchesWeightsAndStaleFencingTokenIsRefused() throws IOException {
        byte[] load =
                JsonSupport.toBytes(
                        Map.of(
                                "fencingToken",
                                9,
                                "action",
                                "LOAD",
                                "model",
                                new ModelPin("m", "", "2"),
                                "weightBytes",
                                200_000));
        assertThat(call("POST", "/v1/orders", load).status()).isEqualTo(202);
        while (call("GET", "/v1/state", null).json().path("models").size() < 2) {
            Thread.onSpinWait();
        }
        byte[] old =
                JsonSupport.toBytes(Map.of("fencingToken", 8, "action", "UNLOAD", "model", PIN));
        BufferedHttpResponse refused = call("POST", "/v1/orders", old);
        assertThat(refused.status()).isEqualTo(409);
        assertThat(refused.problemCode()).isEqualTo("fenced");
        assertThat(refused.json().path("highestFencingToken").asLong()).isEqualTo(9);
        BufferedHttpResponse usage =
                StandInClientConnection.sendOnNewConnection(
                        weights.address(), TIMEOUT_MS, "GET", "/usage", Map.of(), null);
        assertThat(usage.json().path("totalBytes").asLong()).isEqualTo(200_000);
    }
}

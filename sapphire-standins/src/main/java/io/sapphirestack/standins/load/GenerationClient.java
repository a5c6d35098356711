package io.sapphirestack.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.engine.ExpectedOutput;
import io.sapphirestack.standins.support.InstanceSelector;
import io.sapphirestack.standins.support.JsonSupport;
import io.sapphirestack.standins.support.SseEvent;
import io.sapphirestack.standins.support.SseReader;
import io.sapphirestack.standins.support.StandInClientConnection;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/**
 * Client for generations that follows docs/api.md. It checks every token, and continues a stream
 * that breaks or times out at another address with {@code Last-Event-ID}. Thread-safe.
 */
public final class GenerationClient {

    private static final int CONNECT_TIMEOUT_MS = 500;
    // The API guarantees less than 2 s between two events or keep-alives of a stream.
    private static final long READ_TIMEOUT_MS = 2_000;
    private static final long RETRY_PAUSE_MS = 100;

    private final InstanceSelector instances;
    private final String key;
    private final MillisClock clock;
    private final long timeoutMs;

    /**
     * Creates a client.
     *
     * @param instances selects the instance for each attempt
     * @param key bearer key of the client account
     * @param clock monotonic clock
     * @param timeoutMs time after which an incomplete generation is abandoned, in milliseconds
     */
    public GenerationClient(
            InstanceSelector instances, String key, MillisClock clock, long timeoutMs) {
        this.instances = instances;
        this.key = key;
        this.clock = clock;
        this.timeoutMs = timeoutMs;
    }

    /**
     * Requests a generation and receives its output.
     *
     * @param request generation to request
     * @param onProgress called after each token with the identifier of the generation and the
     *     number of tokens received so far
     * @return result, also if the generation failed or timed out
     */
    public GenerationResult generate(
            CompletionRequest request, BiConsumer<String, Integer> onProgress) {
        ReceivedStream receivedStream = new ReceivedStream(request, onProgress);
        long deadlineMs = clock.nowMs() + timeoutMs;
        while (!receivedStream.isEnded() && clock.nowMs() < deadlineMs) {
            String address = instances.chooseAddress();
            try {
                receive(address, request, receivedStream);
            } catch (IOException e) {
                instances.markFailed(address);
                receivedStream.countInterruption();
            }
            if (!receivedStream.isEnded()) {
                pause();
            }
        }
        return receivedStream.result();
    }

    private void receive(String address, CompletionRequest request, ReceivedStream receivedStream)
            throws IOException {
        try (StandInClientConnection connection =
                StandInClientConnection.connect(address, CONNECT_TIMEOUT_MS, READ_TIMEOUT_MS)) {
            ClassicHttpResponse response = sendRequest(connection, request, receivedStream);
            if (response.getCode() != 200) {
                handleRefusal(address, response, receivedStream);
                return;
            }
            if (receivedStream.generationId.isEmpty()) {
                try {
                    receivedStream.generationId =
                            response.getHeader("Sapphire-Generation-Id").getValue();
                } catch (HttpException | NullPointerException e) {
                    throw new IOException("response has no Sapphire-Generation-Id header", e);
                }
            }
            SseReader events = new SseReader(response.getEntity().getContent());
            while (!receivedStream.isEnded()) {
                Optional<SseEvent> event = events.readNext();
                if (event.isEmpty()) {
                    throw new IOException("stream ended before the last token");
                }
                receivedStream.acceptEvent(event.get(), clock.nowMs());
            }
        }
    }

    private ClassicHttpResponse sendRequest(
            StandInClientConnection connection,
            CompletionRequest request,
            ReceivedStream receivedStream)
            throws IOException {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + key);
        if (receivedStream.generationId.isEmpty()) {
            headers.put("Idempotency-Key", request.idempotencyKey());
            byte[] body =
                    JsonSupport.toBytes(
                            Map.of(
                                    "model",
                                    request.model(),
                                    "prompt",
                                    request.prompt(),
                                    "max_tokens",
                                    request.maxTokens(),
                                    "seed",
                                    request.seed(),
                                    "stream",
                                    true));
            return connection.sendRequest("POST", "/v1/completions", headers, body);
        }
        if (receivedStream.nextOffset > 0) {
            headers.put("Last-Event-ID", Integer.toString(receivedStream.nextOffset - 1));
        }
        return connection.sendRequest(
                "GET", "/v1/generations/" + receivedStream.generationId + "/stream", headers, null);
    }

    /** Records a refusal, which ends the generation unless its status allows a retry. */
    private void handleRefusal(
            String address, ClassicHttpResponse response, ReceivedStream receivedStream)
            throws IOException {
        JsonNode problem = JsonSupport.readTree(EntityUtils.toByteArray(response.getEntity()));
        receivedStream.lastRefusalCode =
                problem.path("code").asText(Integer.toString(response.getCode()));
        if (response.getCode() == 503 || response.getCode() == 504) {
            instances.markFailed(address);
        } else if (receivedStream.generationId.isEmpty() && response.getCode() == 429) {
            instances.markFailed(address);
        } else {
            receivedStream.failure = receivedStream.lastRefusalCode;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tokens and state of one generation across its attempts. Used by one thread. */
    private static final class ReceivedStream {
        private final CompletionRequest request;
        private final BiConsumer<String, Integer> onProgress;
        private final ExpectedOutput expected;
        private final List<Long> arrivalTimesMs = new ArrayList<>();
        private String generationId = "";
        private int nextOffset;
        private boolean complete;
        private String failure = "";
        private String lastRefusalCode = "";
        private int continuations;

        ReceivedStream(CompletionRequest request, BiConsumer<String, Integer> onProgress) {
            this.request = request;
            this.onProgress = onProgress;
            this.expected = ExpectedOutput.of(request.prompt(), request.seed());
        }

        boolean isEnded() {
            return complete || !failure.isEmpty();
        }

        void countInterruption() {
            if (!generationId.isEmpty()) {
                continuations++;
            }
        }

        void acceptEvent(SseEvent event, long nowMs) throws IOException {
            if (event.comment()) {
                return;
            }
            if (event.data().equals("[DONE]")) {
                complete = nextOffset == request.maxTokens();
                failure = complete ? "" : "ended after " + nextOffset + " tokens";
                return;
            }
            if (event.id().isEmpty()) {
                return;
            }
            JsonNode data = JsonSupport.readTree(event.data().getBytes(StandardCharsets.UTF_8));
            String text = data.path("choices").path(0).path("text").asText();
            if (!event.id().equals(Integer.toString(nextOffset))) {
                failure = "token " + nextOffset + " expected but got " + event.id();
            } else if (!text.equals(expected.token(nextOffset))) {
                failure = "token " + nextOffset + " has the wrong text";
            } else {
                nextOffset++;
                arrivalTimesMs.add(nowMs);
                onProgress.accept(generationId, nextOffset);
            }
        }

        GenerationResult result() {
            String reason = isEnded() ? failure : "gave up: " + lastRefusalCode;
            return new GenerationResult(
                    generationId,
                    nextOffset,
                    complete,
                    reason,
                    continuations,
                    List.copyOf(arrivalTimesMs));
        }
    }
}

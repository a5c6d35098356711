package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.time.MillisClock;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/**
 * Reads one generation to its end, over several connections if some of them fail. Used by one
 * thread.
 */
final class GenerationStreamReader {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long RETRY_PAUSE_MS = 100;
    private static final String DATA_FIELD = "data:";
    private static final String ID_FIELD = "id:";

    private final SapphireClient client;
    private final MillisClock clock;
    private final long timeoutMs;
    private final TokenListener listener;
    private String generationId = "";
    private long nextOffset;
    private String finishReason = "";
    private int connections;
    private long startedAtMs;
    private long firstTokenMs = -1;
    private long lastTokenAtMs;
    private long longestGapMs;

    GenerationStreamReader(
            SapphireClient client, MillisClock clock, long timeoutMs, TokenListener listener) {
        this.client = client;
        this.clock = clock;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    StreamResult read(ClientRequest startRequest, String id, long fromOffset)
            throws ClientException {
        generationId = id;
        nextOffset = fromOffset;
        startedAtMs = clock.nowMs();
        long lastProgressAtMs = startedAtMs;
        ClientException lastFailure = null;
        while (clock.nowMs() - lastProgressAtMs < timeoutMs) {
            for (String address : client.candidateAddresses()) {
                long previousOffset = nextOffset;
                try {
                    if (readFromAddress(
                            address,
                            generationId.isEmpty() ? startRequest : continuationRequest())) {
                        return new StreamResult(
                                generationId,
                                nextOffset,
                                finishReason,
                                connections - 1,
                                firstTokenMs,
                                longestGapMs);
                    }
                    lastFailure =
                            new ClientException(
                                    "read-stream",
                                    address,
                                    "the stream ended before its last event",
                                    null);
                } catch (IOException | HttpException e) {
                    lastFailure =
                            new ClientException(
                                    "read-stream",
                                    address,
                                    "the connection failed while the stream was read",
                                    e);
                } catch (ClientException e) {
                    lastFailure = e;
                    if (!isRetryable(e)) {
                        throw e;
                    }
                }
                client.reportFailure(address);
                if (nextOffset > previousOffset) {
                    lastProgressAtMs = clock.nowMs();
                    break;
                }
            }
            LockSupport.parkNanos(RETRY_PAUSE_MS * 1_000_000L);
        }
        throw lastFailure == null
                ? new ClientException(
                        "read-stream",
                        "none",
                        "the timeout passed before an address was tried",
                        null)
                : lastFailure;
    }

    private static boolean isRetryable(ClientException e) {
        return e.problem().map(problem -> problem.status() == 503).orElse(true);
    }

    private ClientRequest continuationRequest() {
        String path = "/v1/generations/" + generationId + "/stream";
        return nextOffset == 0
                ? ClientRequest.of("GET", path)
                : ClientRequest.of("GET", path)
                        .withHeader("Last-Event-ID", Long.toString(nextOffset - 1));
    }

    private boolean readFromAddress(String address, ClientRequest request)
            throws IOException, HttpException, ClientException {
        try (ClassicHttpResponse response = client.openStream(address, request)) {
            if (response.getCode() >= 400) {
                JsonNode body = MAPPER.readTree(EntityUtils.toByteArray(response.getEntity()));
                throw new ClientException(
                        address,
                        ProblemDetails.of(
                                response.getCode(), body == null ? MAPPER.nullNode() : body));
            }
            connections++;
            if (generationId.isEmpty()
                    && response.getFirstHeader("Sapphire-Generation-Id") != null) {
                generationId = response.getFirstHeader("Sapphire-Generation-Id").getValue();
            }
            return readEvents(
                    address,
                    new BufferedReader(
                            new InputStreamReader(
                                    response.getEntity().getContent(), StandardCharsets.UTF_8)));
        }
    }

    private boolean readEvents(String address, BufferedReader reader)
            throws IOException, ClientException {
        long offset = -1;
        String line = reader.readLine();
        while (line != null) {
            if (line.startsWith(ID_FIELD)) {
                offset = Long.parseLong(line.substring(ID_FIELD.length()).trim());
            } else if (line.startsWith(DATA_FIELD)) {
                String data = line.substring(DATA_FIELD.length()).trim();
                if (data.equals("[DONE]")) {
                    return true;
                }
                JsonNode chunk = MAPPER.readTree(data);
                requireNotFailed(address, chunk);
                acceptChunk(address, offset, chunk);
                offset = -1;
            }
            line = reader.readLine();
        }
        return false;
    }

    /** Fails if the generation was ended, so that no address can continue it. */
    private static void requireNotFailed(String address, JsonNode chunk) throws ClientException {
        if (chunk.path("code").asText("").equals(ProblemDetails.GENERATION_FAILED)) {
            int status = chunk.path("status").asInt();
            throw new ClientException(address, ProblemDetails.of(status, chunk));
        }
    }

    private void acceptChunk(String address, long offset, JsonNode chunk) throws ClientException {
        JsonNode choice = chunk.path("choices").path(0);
        if (offset < 0) {
            finishReason = choice.path("finish_reason").asText("");
            return;
        }
        if (offset != nextOffset) {
            throw new ClientException(
                    "check-offset",
                    address,
                    "expected offset " + nextOffset + " but got " + offset,
                    null);
        }
        long nowMs = clock.nowMs();
        if (firstTokenMs < 0) {
            firstTokenMs = nowMs - startedAtMs;
        } else {
            longestGapMs = Math.max(longestGapMs, nowMs - lastTokenAtMs);
        }
        lastTokenAtMs = nowMs;
        listener.onToken(generationId, offset, choice.path("text").asText());
        nextOffset++;
    }
}

package io.sapphirestack.runtime.generation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.generation.GenerationSpec;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.runtime.endpoint.EndpointConnection;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.error.ServiceException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.Method;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Client of the streaming interface of engines. Each request uses its own connection. Thread-safe;
 * calls block.
 */
final class EngineClient {

    /** Result of a probe. */
    enum ProbeResult {
        /** The engine sent a response. */
        RESPONDED,
        /** The probe timed out. */
        TIMED_OUT,
        /** The connection was refused or reset. */
        UNREACHABLE
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Timeout of a cancel request in milliseconds; short, so that a hung engine blocks the thread
     * only briefly.
     */
    private static final long CANCEL_TIMEOUT_MS = 300;

    /**
     * Starts an attempt.
     *
     * @param address {@code host:port} of the engine
     * @param spec request and pinned values
     * @param attempt number of the attempt
     * @param prefix tokens of the output that exist already
     * @param priority priority of the account, 0 to 9
     * @param readTimeoutMs longest time without data in milliseconds; also the connect timeout
     * @return stream that starts at the offset {@code prefix.size()}
     * @throws EngineRefusedException if the engine returned an error status
     * @throws EndpointException if the connection failed or timed out
     */
    EngineStream startAttempt(
            String address,
            GenerationSpec spec,
            int attempt,
            List<String> prefix,
            int priority,
            long readTimeoutMs)
            throws ServiceException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("generation", spec.id().value()).put("attempt", attempt);
        body.putObject("model")
                .put("model", spec.pin().model())
                .put("adapter", spec.pin().adapter())
                .put("version", spec.pin().version());
        body.put("seed", spec.seed()).put("prompt", spec.prompt());
        ArrayNode tokens = body.putArray("prefix");
        prefix.forEach(tokens::add);
        body.put("maxTokens", spec.maxTokens()).put("priority", priority);
        ClassicHttpRequest request = new BasicClassicHttpRequest(Method.POST, "/v1/streams");
        byte[] content = serialize(body);
        request.setEntity(new ByteArrayEntity(content, ContentType.APPLICATION_JSON));
        // The connection runs no protocol interceptors that would add these headers.
        request.setHeader(HttpHeaders.CONTENT_LENGTH, content.length);
        request.setHeader(HttpHeaders.CONTENT_TYPE, ContentType.APPLICATION_JSON);
        return stream("start", address, request, readTimeoutMs);
    }

    /**
     * Attaches to a running attempt.
     *
     * @param address {@code host:port} of the engine
     * @param id generation
     * @param attempt number of the attempt
     * @param fromOffset offset of the first token to return
     * @param readTimeoutMs longest time without data in milliseconds; also the connect timeout
     * @return stream that starts at that offset
     * @throws EngineRefusedException if the engine does not know the attempt
     * @throws EndpointException if the connection failed or timed out
     */
    EngineStream attach(
            String address, GenerationId id, int attempt, long fromOffset, long readTimeoutMs)
            throws ServiceException {
        ClassicHttpRequest request =
                new BasicClassicHttpRequest(Method.GET, path(id, attempt) + "?from=" + fromOffset);
        return stream("attach", address, request, readTimeoutMs);
    }

    /**
     * Cancels an attempt. Failures are ignored.
     *
     * @param address {@code host:port} of the engine
     * @param id generation
     * @param attempt number of the attempt
     */
    void cancel(String address, GenerationId id, int attempt) {
        try (EndpointConnection connection =
                EndpointConnection.open(address, CANCEL_TIMEOUT_MS, CANCEL_TIMEOUT_MS)) {
            connection.exchange(new BasicClassicHttpRequest(Method.DELETE, path(id, attempt)));
        } catch (EndpointException e) {
            // The engine drops a stream that has had no reader for 30 s.
        }
    }

    /**
     * Probes an engine on a new connection.
     *
     * @param address {@code host:port} of the engine
     * @param timeoutMs timeout in milliseconds
     * @return result of the probe
     */
    ProbeResult probe(String address, long timeoutMs) {
        try (EndpointConnection connection =
                EndpointConnection.open(address, timeoutMs, timeoutMs)) {
            connection.exchange(new BasicClassicHttpRequest(Method.GET, "/health"));
            return ProbeResult.RESPONDED;
        } catch (EndpointException e) {
            return e.timedOut() ? ProbeResult.TIMED_OUT : ProbeResult.UNREACHABLE;
        }
    }

    private static EngineStream stream(
            String step, String address, ClassicHttpRequest request, long readTimeoutMs)
            throws ServiceException {
        EndpointConnection connection =
                EndpointConnection.open(address, readTimeoutMs, readTimeoutMs);
        boolean streaming = false;
        try {
            ClassicHttpResponse response = connection.exchange(request);
            HttpEntity entity = response.getEntity();
            if (response.getCode() != 200 || entity == null) {
                throw new EngineRefusedException(step, address, response.getCode());
            }
            streaming = true;
            return new EngineStream(connection, entity.getContent(), readTimeoutMs);
        } catch (IOException e) {
            throw new EndpointException(
                    step, address, "cannot read the response body", true, false, e);
        } finally {
            if (!streaming) {
                connection.close();
            }
        }
    }

    private static String path(GenerationId id, int attempt) {
        return "/v1/streams/" + id + "/" + attempt;
    }

    private static byte[] serialize(ObjectNode body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package io.sapphirestack.runtime.relay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.endpoint.EndpointConnection;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/** Orders engines to copy running requests to other endpoints. Thread-safe. */
final class CopyOrderClient {

    /** Connect timeout in milliseconds. */
    private static final long CONNECT_TIMEOUT_MS = 150;

    /**
     * Longest wait for a copy, in milliseconds. After the loss of a zone many copies are queued on
     * the links of the remaining engines.
     */
    private static final long ORDER_TIMEOUT_MS = 1_500;

    private static final int MAX_RESPONSE_BYTES = 4_096;
    private static final int COPIED = 200;

    /** A handle becomes part of a header field and of a path, so it has no spaces or controls. */
    private static final Pattern HANDLE = Pattern.compile("[!-~]{1,256}");

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final CopyOrderNames names;

    CopyOrderClient(CopyOrderNames names) {
        this.names = Objects.requireNonNull(names, "names");
    }

    /**
     * Response to an order.
     *
     * @param status status code
     * @param handle handle of the copy; empty unless the copy is complete
     */
    record CopyOrderResponse(int status, Optional<String> handle) {}

    /**
     * Orders a copy and waits until it is complete. If the target already has a copy of the
     * request, only what is new is transferred.
     *
     * @param requestId identifier of the running request
     * @param source endpoint that runs it
     * @param target endpoint that receives the copy
     * @return response of the source
     * @throws EndpointException if the source did not respond in time or not with a valid response
     */
    CopyOrderResponse order(String requestId, EndpointState source, EndpointState target)
            throws EndpointException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(names.request(), requestId);
        body.put(names.target(), target.address());
        body.put(names.last(), false);
        BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", names.path());
        request.setEntity(
                new ByteArrayEntity(
                        body.toString().getBytes(StandardCharsets.UTF_8),
                        ContentType.APPLICATION_JSON));
        return exchange(source, request);
    }

    /**
     * Releases the memory of a copy that is no longer needed.
     *
     * @param source endpoint that made the copy
     * @param handle handle of the copy
     * @throws EndpointException if the source did not respond in time or not with a valid response
     */
    void release(EndpointState source, String handle) throws EndpointException {
        exchange(source, new BasicClassicHttpRequest("DELETE", names.releasePathPrefix() + handle));
    }

    private CopyOrderResponse exchange(EndpointState source, BasicClassicHttpRequest request)
            throws EndpointException {
        try (EndpointConnection connection =
                        EndpointConnection.open(
                                source.address(), CONNECT_TIMEOUT_MS, ORDER_TIMEOUT_MS);
                ClassicHttpResponse response = connection.exchange(request)) {
            // Also bounds the close of the response, which reads what is left of the body.
            connection.limitBodyTime(ORDER_TIMEOUT_MS);
            return new CopyOrderResponse(response.getCode(), handleOf(response));
        } catch (IOException | HttpException e) {
            throw new EndpointException(
                    "receive", source.address(), "invalid response", true, false, e);
        }
    }

    private Optional<String> handleOf(ClassicHttpResponse response)
            throws IOException, HttpException {
        if (response.getCode() != COPIED || response.getEntity() == null) {
            return Optional.empty();
        }
        String text = EntityUtils.toString(response.getEntity(), MAX_RESPONSE_BYTES);
        return Optional.ofNullable(text).flatMap(this::parseHandle);
    }

    private Optional<String> parseHandle(String text) {
        try {
            JsonNode handle = MAPPER.readTree(text).path(names.handle());
            return Optional.of(handle)
                    .filter(node -> node.isValueNode() && !node.isNull())
                    .map(JsonNode::asText)
                    .filter(value -> HANDLE.matcher(value).matches());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}

package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.EndpointOrder;
import java.io.IOException;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Client that sends orders over HTTP/1.1. Each call runs on the executor and opens its own
 * connection. Thread-safe.
 */
public final class HttpEngineOrderClient implements EngineOrderClient {
    /**
     * Timeout for the connect, and for each wait for data, of an order or state request, in
     * milliseconds.
     */
    public static final long ORDER_TIMEOUT_MS = 2_000;

    private static final int MAX_STATE_BYTES = 1 << 20;

    private final Executor executor;
    private final ObjectMapper mapper;
    private final String authorization;

    /**
     * Creates a client.
     *
     * @param executor runs the blocking calls
     * @param mapper JSON mapper
     * @param authorization value of the {@code Authorization} header; empty to send none
     */
    public HttpEngineOrderClient(Executor executor, ObjectMapper mapper, String authorization) {
        this.executor = Objects.requireNonNull(executor, "executor");
        this.mapper = Objects.requireNonNull(mapper, "mapper");
        this.authorization = Objects.requireNonNull(authorization, "authorization");
    }

    private interface BlockingCall<R> {
        R run() throws EndpointException;
    }

    private <R> CompletableFuture<R> submit(BlockingCall<R> call) {
        CompletableFuture<R> result = new CompletableFuture<>();
        executor.execute(
                () -> {
                    try {
                        result.complete(call.run());
                    } catch (EndpointException | RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        return result;
    }

    @Override
    public CompletableFuture<SendOutcome> send(
            String address, long fencingToken, EndpointOrder order, BooleanSupplier mayBeSent) {
        return submit(() -> doSend(address, fencingToken, order, mayBeSent));
    }

    private SendOutcome doSend(
            String address, long fencingToken, EndpointOrder order, BooleanSupplier mayBeSent)
            throws EndpointException {
        ObjectNode body = mapper.createObjectNode();
        body.put("fencingToken", fencingToken);
        body.put("action", order.action().name());
        body.set("model", mapper.valueToTree(order.pin()));
        body.put("role", order.role());
        body.put("weightBytes", order.weightBytes());
        BasicClassicHttpRequest request = request("POST", "/v1/orders");
        request.setEntity(
                new ByteArrayEntity(
                        body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        ContentType.APPLICATION_JSON));
        try (EndpointConnection connection =
                EndpointConnection.open(address, ORDER_TIMEOUT_MS, ORDER_TIMEOUT_MS)) {
            // Checked after connecting, because the lease may expire during the connect.
            if (!mayBeSent.getAsBoolean()) {
                return SendOutcome.NOT_SENT;
            }
            try (ClassicHttpResponse response = connection.exchange(request)) {
                // Also bounds the close of the response, which reads what is left of the body.
                connection.limitBodyTime(ORDER_TIMEOUT_MS);
                String text = readBody(response, address);
                if (response.getCode() == 202) {
                    return SendOutcome.ACCEPTED;
                }
                return response.getCode() == 409 && text.contains("\"fenced\"")
                        ? SendOutcome.FENCED
                        : SendOutcome.REFUSED;
            }
        } catch (IOException e) {
            throw new EndpointException("receive", address, "invalid response", true, false, e);
        }
    }

    @Override
    public CompletableFuture<EngineState> state(String address) {
        return submit(() -> doState(address));
    }

    private EngineState doState(String address) throws EndpointException {
        try (EndpointConnection connection =
                        EndpointConnection.open(address, ORDER_TIMEOUT_MS, ORDER_TIMEOUT_MS);
                ClassicHttpResponse response = connection.exchange(request("GET", "/v1/state"))) {
            connection.limitBodyTime(ORDER_TIMEOUT_MS);
            String text = readBody(response, address);
            if (response.getCode() != 200) {
                throw new EndpointException(
                        "receive",
                        address,
                        "unexpected status " + response.getCode(),
                        true,
                        false,
                        null);
            }
            return mapper.readValue(text, EngineState.class);
        } catch (IOException e) {
            throw new EndpointException("receive", address, "invalid response", true, false, e);
        }
    }

    private BasicClassicHttpRequest request(String method, String path) {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
        if (!authorization.isEmpty()) {
            request.setHeader("Authorization", authorization);
        }
        return request;
    }

    private static String readBody(ClassicHttpResponse response, String address)
            throws EndpointException {
        HttpEntity entity = response.getEntity();
        if (entity == null) {
            return "";
        }
        try {
            String text = EntityUtils.toString(entity, MAX_STATE_BYTES);
            return text == null ? "" : text;
        } catch (IOException | HttpException e) {
            throw new EndpointException("receive", address, "invalid response", true, false, e);
        }
    }
}

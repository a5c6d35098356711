package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.http.StrictClientConnection;
import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Client of the HTTP interfaces of sapphirestack instances. Fetches the addresses of ready
 * instances, and retries a request at another address after a failed connection or a refusal that
 * says that the request was not executed. Addresses have the form {@code host:port}. Thread-safe.
 */
public final class SapphireClient implements Closeable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int ADDRESS_READ_TIMEOUT_MS = 1_000;
    private static final long RETRY_PAUSE_MS = 100;
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 256;
    private static final int MAX_CONNECTIONS = 2_048;
    private static final int MAX_LINE_BYTES = 65_536;
    private static final Http1Config HTTP_CONFIG =
            Http1Config.custom().setMaxLineLength(MAX_LINE_BYTES).build();

    private final ClientOptions options;
    private final MillisClock clock;
    private final AddressCache addressCache;
    private final HttpRequester callRequester;
    private final HttpRequester addressRequester;
    private final HttpRequester streamRequester;

    /**
     * Creates a client.
     *
     * @param options addresses, key and timeouts
     * @param clock monotonic clock
     */
    public SapphireClient(ClientOptions options, MillisClock clock) {
        this.options = options;
        this.clock = clock;
        this.addressCache =
                new AddressCache(options.seedAddresses(), clock, ThreadLocalRandom.current());
        this.callRequester =
                createRequester(Math.toIntExact(Math.min(options.timeoutMs(), Integer.MAX_VALUE)));
        this.addressRequester = createRequester(ADDRESS_READ_TIMEOUT_MS);
        this.streamRequester = createRequester(options.streamReadTimeoutMs());
    }

    private static HttpRequester createRequester(int readTimeoutMs) {
        SocketConfig config =
                SocketConfig.custom()
                        .setSoTimeout(Timeout.ofMilliseconds(readTimeoutMs))
                        .setTcpNoDelay(true)
                        .build();
        // Omits RequestExpectContinue: it would add a round trip before each request body.
        HttpProcessor processor =
                HttpProcessorBuilder.create()
                        .add(new RequestContent())
                        .add(new RequestTargetHost())
                        .add(new RequestConnControl())
                        .add(new RequestUserAgent("sapphire-client"))
                        .build();
        return RequesterBootstrap.bootstrap()
                .setSocketConfig(config)
                .setHttpProcessor(processor)
                .setConnectionFactory(SapphireClient::connect)
                .setDefaultMaxPerRoute(MAX_CONNECTIONS_PER_ADDRESS)
                .setMaxTotal(MAX_CONNECTIONS)
                .create();
    }

    private static HttpClientConnection connect(Socket socket) throws IOException {
        StrictClientConnection connection = new StrictClientConnection(HTTP_CONFIG, null);
        connection.bind(socket);
        return connection;
    }

    /**
     * Sends a request to one address after another until one of them executes it. The timeout of
     * the options is checked between attempts, and also limits each read of an attempt.
     *
     * @param request idempotent request; it may be executed more than once, because it is resent
     *     after a connection fails
     * @return response to the executed request, whose status may be an error
     * @throws ClientException if the request was refused as not retryable, or no address executed
     *     it before the timeout
     */
    public ClientResponse call(ClientRequest request) throws ClientException {
        long deadlineMs = clock.nowMs() + options.timeoutMs();
        ClientException lastFailure = null;
        do {
            refreshAddresses();
            for (String address : addressCache.candidates()) {
                try {
                    ClientResponse response = sendOnce(address, request);
                    if (isExecuted(response)) {
                        return response;
                    }
                    ProblemDetails problem = ProblemDetails.of(response.status(), response.json());
                    lastFailure = new ClientException(address, problem);
                    if (!problem.isRetryableAtAnotherAddress()) {
                        throw lastFailure;
                    }
                } catch (IOException | HttpException e) {
                    lastFailure = new ClientException("exchange", address, "no response", e);
                }
                addressCache.reportFailure(address);
                if (clock.nowMs() >= deadlineMs) {
                    throw lastFailure;
                }
            }
            LockSupport.parkNanos(RETRY_PAUSE_MS * 1_000_000L);
        } while (clock.nowMs() < deadlineMs);
        throw lastFailure;
    }

    /**
     * Sends a request to one address, without retries.
     *
     * @param address {@code host:port}
     * @param request request to send
     * @return response to the executed request, whose status may be an error
     * @throws ClientException if the request was refused or the address did not respond
     */
    public ClientResponse callAt(String address, ClientRequest request) throws ClientException {
        try {
            ClientResponse response = sendOnce(address, request);
            if (isExecuted(response)) {
                return response;
            }
            throw new ClientException(
                    address, ProblemDetails.of(response.status(), response.json()));
        } catch (IOException | HttpException e) {
            throw new ClientException("exchange", address, "no response", e);
        }
    }

    private static boolean isExecuted(ClientResponse response) {
        return response.status() < 400 || "yes".equals(response.headers().get("sapphire-run"));
    }

    private ClientResponse sendOnce(String address, ClientRequest request)
            throws IOException, HttpException {
        return callRequester.execute(
                toHttpHost(address),
                toHttpRequest(request),
                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                HttpCoreContext.create(),
                httpResponse -> readResponse(address, httpResponse));
    }

    private static ClientResponse readResponse(String address, ClassicHttpResponse response)
            throws IOException {
        HttpEntity entity = response.getEntity();
        byte[] body = entity == null ? new byte[0] : EntityUtils.toByteArray(entity);
        return new ClientResponse(
                address,
                response.getCode(),
                readHeaders(response),
                body == null ? new byte[0] : body);
    }

    private static Map<String, String> readHeaders(ClassicHttpResponse response) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Header header : response.getHeaders()) {
            headers.put(header.getName().toLowerCase(java.util.Locale.ROOT), header.getValue());
        }
        return headers;
    }

    private ClassicHttpRequest toHttpRequest(ClientRequest request) {
        ClassicRequestBuilder builder =
                ClassicRequestBuilder.create(request.method()).setPath(request.path());
        if (!options.bearerKey().isEmpty()) {
            builder.addHeader("Authorization", "Bearer " + options.bearerKey());
        }
        request.headers().forEach(builder::addHeader);
        if (request.body().length > 0) {
            builder.setEntity(
                    new ByteArrayEntity(request.body(), ContentType.parse(request.contentType())));
        }
        return builder.build();
    }

    private void refreshAddresses() {
        if (!addressCache.isExpired()) {
            return;
        }
        for (String address : addressCache.candidates()) {
            try {
                ClientResponse response =
                        addressRequester.execute(
                                toHttpHost(address),
                                toHttpRequest(ClientRequest.of("GET", "/v1/addresses")),
                                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                                HttpCoreContext.create(),
                                httpResponse -> readResponse(address, httpResponse));
                List<String> readyAddresses = new ArrayList<>();
                for (JsonNode entry : response.json().path("addresses")) {
                    readyAddresses.add(entry.path("address").asText());
                }
                if (response.status() == 200 && !readyAddresses.isEmpty()) {
                    addressCache.update(
                            readyAddresses,
                            response.json()
                                    .path("ttlMs")
                                    .asLong(ClientOptions.DEFAULT_STREAM_READ_TIMEOUT_MS));
                    return;
                }
            } catch (IOException | HttpException e) {
                addressCache.reportFailure(address);
            }
        }
    }

    /**
     * Starts a generation and reads it to its end. After a broken connection the stream continues
     * at another address.
     *
     * @param body fields of the JSON body of {@code POST /v1/completions}; this method adds {@code
     *     stream}
     * @param idempotencyKey key that prevents a second generation if the request is retried
     * @param listener receives the tokens in order, on the calling thread
     * @return summary of the generation
     * @throws ClientException if it was refused, token offsets are missing in the stream, or no new
     *     token arrived within the timeout of the options
     */
    public StreamResult generate(
            Map<String, Object> body, String idempotencyKey, TokenListener listener)
            throws ClientException {
        Map<String, Object> streamBody = new LinkedHashMap<>(body);
        streamBody.put("stream", true);
        byte[] bytes;
        try {
            bytes = MAPPER.writeValueAsBytes(streamBody);
        } catch (IOException e) {
            throw new ClientException(
                    "encode", "local", "the request body cannot be written as JSON", e);
        }
        ClientRequest startRequest =
                ClientRequest.of("POST", "/v1/completions")
                        .withHeader("Idempotency-Key", idempotencyKey)
                        .withBody("application/json", bytes);
        return new GenerationStreamReader(this, clock, options.timeoutMs(), listener)
                .read(startRequest, "", 0);
    }

    /**
     * Reads a generation from an offset to its end.
     *
     * @param id identifier of the generation
     * @param fromOffset offset of the first token to read, in tokens from 0
     * @param listener receives the tokens in order, on the calling thread
     * @return summary of the generation
     * @throws ClientException if it was refused, token offsets are missing in the stream, or no new
     *     token arrived within the timeout of the options
     */
    public StreamResult continueGeneration(String id, long fromOffset, TokenListener listener)
            throws ClientException {
        return new GenerationStreamReader(this, clock, options.timeoutMs(), listener)
                .read(null, id, fromOffset);
    }

    /** Returns all known addresses in the order in which to try them; never empty. */
    List<String> candidateAddresses() {
        refreshAddresses();
        return addressCache.candidates();
    }

    /**
     * Moves an address that failed to the end of the order, and refetches the addresses next time.
     */
    void reportFailure(String address) {
        addressCache.reportFailure(address);
    }

    /**
     * Sends a request and returns its response with the body unread.
     *
     * @param address {@code host:port}
     * @param request request to send
     * @return response, to be closed by the calling code
     * @throws IOException if the connection fails or no data arrives within the stream read timeout
     * @throws HttpException if the response is not valid HTTP
     */
    ClassicHttpResponse openStream(String address, ClientRequest request)
            throws IOException, HttpException {
        return streamRequester.execute(
                toHttpHost(address),
                toHttpRequest(request),
                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                HttpCoreContext.create());
    }

    private static HttpHost toHttpHost(String address) {
        int colon = address.lastIndexOf(':');
        return new HttpHost(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public void close() {
        callRequester.close(CloseMode.GRACEFUL);
        addressRequester.close(CloseMode.GRACEFUL);
        streamRequester.close(CloseMode.GRACEFUL);
    }
}

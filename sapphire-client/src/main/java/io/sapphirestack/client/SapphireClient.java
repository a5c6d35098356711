package io.sapphirestack.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.time.MillisClock;
import java.io.Closeable;
import java.io.IOException;
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
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
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
 * Client of the HTTP interfaces. Follows the address list, and sends a request to another address
 * after a failed connection or a refusal that says that nothing ran. Thread-safe.
 */
public final class SapphireClient implements Closeable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int ADDRESS_TIMEOUT_MS = 1_000;
    private static final long RETRY_PAUSE_MS = 100;
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 256;
    private static final int MAX_CONNECTIONS = 2_048;

    private final ClientOptions options;
    private final MillisClock clock;
    private final AddressBook addresses;
    private final HttpRequester requester;
    private final HttpRequester addressRequester;
    private final HttpRequester streamRequester;

    /**
     * Creates a client.
     *
     * @param options addresses, key and times
     * @param clock monotonic clock
     */
    public SapphireClient(ClientOptions options, MillisClock clock) {
        this.options = options;
        this.clock = clock;
        this.addresses =
                new AddressBook(options.seedAddresses(), clock, ThreadLocalRandom.current());
        this.requester =
                requester(Math.toIntExact(Math.min(options.timeoutMs(), Integer.MAX_VALUE)));
        this.addressRequester = requester(ADDRESS_TIMEOUT_MS);
        this.streamRequester = requester(options.silenceMs());
    }

    private static HttpRequester requester(int readTimeoutMs) {
        SocketConfig config =
                SocketConfig.custom()
                        .setSoTimeout(Timeout.ofMilliseconds(readTimeoutMs))
                        .setTcpNoDelay(true)
                        .build();
        // Without Expect: 100-continue, which would cost a round trip before every body.
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
                .setDefaultMaxPerRoute(MAX_CONNECTIONS_PER_ADDRESS)
                .setMaxTotal(MAX_CONNECTIONS)
                .create();
    }

    /**
     * Sends a request until an address answers.
     *
     * @param request idempotent request
     * @return answer with a status below 400, or one that a plain service gave
     * @throws ClientException if the request was refused or no address answered in time
     */
    public ClientResponse call(ClientRequest request) throws ClientException {
        long deadlineMs = clock.nowMs() + options.timeoutMs();
        ClientException last = null;
        do {
            refreshAddresses();
            for (String address : addresses.candidates()) {
                try {
                    ClientResponse answer = exchange(address, request);
                    if (isFinal(answer)) {
                        return answer;
                    }
                    Problem problem = Problem.of(answer.status(), answer.json());
                    last = new ClientException(address, problem);
                    if (!problem.isWorthAnotherAddress()) {
                        throw last;
                    }
                } catch (IOException | HttpException e) {
                    last = new ClientException("exchange", address, "no answer", e);
                }
                addresses.reportFailure(address);
                if (clock.nowMs() >= deadlineMs) {
                    throw last;
                }
            }
            LockSupport.parkNanos(RETRY_PAUSE_MS * 1_000_000L);
        } while (clock.nowMs() < deadlineMs);
        throw last;
    }

    /**
     * Sends a request to one address only.
     *
     * @param address {@code host:port}
     * @param request request
     * @return answer with a status below 400
     * @throws ClientException if the request was refused or the address did not answer
     */
    public ClientResponse callAt(String address, ClientRequest request) throws ClientException {
        try {
            ClientResponse answer = exchange(address, request);
            if (isFinal(answer)) {
                return answer;
            }
            throw new ClientException(address, Problem.of(answer.status(), answer.json()));
        } catch (IOException | HttpException e) {
            throw new ClientException("exchange", address, "no answer", e);
        }
    }

    private static boolean isFinal(ClientResponse answer) {
        return answer.status() < 400 || "yes".equals(answer.headers().get("sapphire-run"));
    }

    private ClientResponse exchange(String address, ClientRequest request)
            throws IOException, HttpException {
        return requester.execute(
                host(address),
                toHttp(request),
                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                HttpCoreContext.create(),
                response -> toAnswer(address, response));
    }

    private static ClientResponse toAnswer(String address, ClassicHttpResponse response)
            throws IOException {
        HttpEntity entity = response.getEntity();
        byte[] body = entity == null ? new byte[0] : EntityUtils.toByteArray(entity);
        return new ClientResponse(
                address, response.getCode(), headers(response), body == null ? new byte[0] : body);
    }

    private static Map<String, String> headers(ClassicHttpResponse response) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (Header header : response.getHeaders()) {
            headers.put(header.getName().toLowerCase(java.util.Locale.ROOT), header.getValue());
        }
        return headers;
    }

    private ClassicHttpRequest toHttp(ClientRequest request) {
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
        if (!addresses.isExpired()) {
            return;
        }
        for (String address : addresses.candidates()) {
            try {
                ClientResponse answer =
                        addressRequester.execute(
                                host(address),
                                toHttp(ClientRequest.of("GET", "/v1/addresses")),
                                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                                HttpCoreContext.create(),
                                response -> toAnswer(address, response));
                List<String> ready = new ArrayList<>();
                for (JsonNode entry : answer.json().path("addresses")) {
                    ready.add(entry.path("address").asText());
                }
                if (answer.status() == 200 && !ready.isEmpty()) {
                    addresses.update(
                            ready,
                            answer.json()
                                    .path("ttlMs")
                                    .asLong(ClientOptions.DEFAULT_STREAM_READ_TIMEOUT_MS));
                    return;
                }
            } catch (IOException | HttpException e) {
                addresses.reportFailure(address);
            }
        }
    }

    /**
     * Starts a generation and reads it to its end, continuing at other addresses as often as
     * needed.
     *
     * @param body JSON body of {@code POST /v1/completions}; {@code stream} is set here
     * @param idempotencyKey key that makes a repeated start safe
     * @param listener receives the tokens in order
     * @return how it ended
     * @throws ClientException if it was refused, lost, or could not be continued in time
     */
    public StreamResult generate(
            Map<String, Object> body, String idempotencyKey, TokenListener listener)
            throws ClientException {
        Map<String, Object> streaming = new LinkedHashMap<>(body);
        streaming.put("stream", true);
        byte[] bytes;
        try {
            bytes = MAPPER.writeValueAsBytes(streaming);
        } catch (IOException e) {
            throw new ClientException(
                    "encode", "local", "the request cannot be written as JSON", e);
        }
        ClientRequest start =
                ClientRequest.of("POST", "/v1/completions")
                        .withHeader("Idempotency-Key", idempotencyKey)
                        .withBody("application/json", bytes);
        return new StreamReader(this, clock, options.timeoutMs(), listener).read(start, "", 0);
    }

    /**
     * Reads a generation from an offset to its end.
     *
     * @param id identifier of the generation
     * @param fromOffset offset of the first token wanted
     * @param listener receives the tokens in order
     * @return how it ended
     * @throws ClientException if it was refused, lost, or could not be continued in time
     */
    public StreamResult continueGeneration(String id, long fromOffset, TokenListener listener)
            throws ClientException {
        return new StreamReader(this, clock, options.timeoutMs(), listener)
                .read(null, id, fromOffset);
    }

    List<String> streamCandidates() {
        refreshAddresses();
        return addresses.candidates();
    }

    void reportFailure(String address) {
        addresses.reportFailure(address);
    }

    ClassicHttpResponse openStream(String address, ClientRequest request)
            throws IOException, HttpException {
        return streamRequester.execute(
                host(address),
                toHttp(request),
                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                HttpCoreContext.create());
    }

    private static HttpHost host(String address) {
        int colon = address.lastIndexOf(':');
        return new HttpHost(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public void close() {
        requester.close(CloseMode.GRACEFUL);
        addressRequester.close(CloseMode.GRACEFUL);
        streamRequester.close(CloseMode.GRACEFUL);
    }
}

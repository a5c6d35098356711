package io.sapphirestack.runtime.http;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.Refusal;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.runtime.connection.BoundedBuffer;
import io.sapphirestack.runtime.connection.MessageLimit;
import io.sapphirestack.runtime.connection.MessageLimitException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.net.WWWFormCodec;

/** Matches requests to routes, runs their handlers and sends the responses. Thread-safe. */
final class RequestDispatcher implements HttpServerRequestHandler {

    private static final EventLog LOG = EventLog.of(RequestDispatcher.class);

    // The body of a refused request is read and discarded up to this size, because closing the
    // connection earlier would reset it before the caller has read the refusal.
    private static final int MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

    private static final int READ_CHUNK_BYTES = 4 * 1024;

    /** Colon and line end of a header line; the space after the colon is optional. */
    private static final int MIN_SEPARATOR_BYTES = 3;

    /** Longest time in which a body arrives or the rest of one is discarded, in milliseconds. */
    private static final long BODY_TIMEOUT_MS = 15_000;

    private static final int BODY_TIMEOUT_STATUS = 408;

    private final RouteTable routes;
    private final FrontendServices services;
    private final int maxBodyBytes;
    private final AtomicInteger openRequestCount = new AtomicInteger();
    private volatile boolean closeAfterRequests;

    RequestDispatcher(RouteTable routes, FrontendServices services, int maxBodyBytes) {
        this.routes = routes;
        this.services = services;
        this.maxBodyBytes = maxBodyBytes;
    }

    int openRequests() {
        return openRequestCount.get();
    }

    void closeConnectionsAfterRequests(boolean close) {
        closeAfterRequests = close;
    }

    @Override
    public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
            throws HttpException, IOException {
        openRequestCount.incrementAndGet();
        long startedAtMs = services.clock().nowMs();
        String route = "none";
        ApiResponse response = null;
        try {
            String target = request.getPath();
            int queryStart = target.indexOf('?');
            String path = queryStart < 0 ? target : target.substring(0, queryStart);
            String rawQuery = queryStart < 0 ? "" : target.substring(queryStart + 1);
            Optional<RouteTable.Match> match = routes.find(request.getMethod(), path);
            if (match.isPresent()) {
                route = match.get().route().pattern();
            }
            response =
                    handleRequest(
                            request, match, rawQuery, startedAtMs, RequestMemory.get(context));
            send(request, response, trigger);
        } finally {
            openRequestCount.decrementAndGet();
            if (response != null) {
                response.onCompletion().run();
                services.metrics()
                        .recordRequest(
                                route, response.status(), services.clock().nowMs() - startedAtMs);
            }
        }
    }

    private ApiResponse handleRequest(
            ClassicHttpRequest request,
            Optional<RouteTable.Match> match,
            String rawQuery,
            long startedAtMs,
            ByteBudget.Lease memory) {
        try {
            checkHeaderSize(request);
            if (match.isEmpty()) {
                throw ApiRequest.notFound(
                        "There is no route for " + request.getMethod() + " on this path.");
            }
            ApiRequest apiRequest =
                    new ApiRequest(
                            request,
                            match.get().parameters(),
                            parseQuery(rawQuery),
                            rawQuery,
                            startedAtMs,
                            bodyReader(request, memory),
                            memory);
            return match.get().route().handler().handle(apiRequest);
        } catch (RefusedException e) {
            Refusal refusal = e.refusal();
            services.metrics()
                    .recordRefusal(
                            refusal.code(), refusal.executed().name().toLowerCase(Locale.ROOT));
            return ApiResponse.problem(refusal);
        } catch (IOException | RuntimeException e) {
            LOG.error(
                    "SAP1205",
                    e,
                    "Request handler failed unexpectedly",
                    "method",
                    request.getMethod(),
                    "route",
                    match.map(found -> found.route().pattern()).orElse("none"));
            return ApiResponse.problem(
                    new Refusal(
                            500,
                            "internal_error",
                            "The request failed unexpectedly.",
                            "handle",
                            "local",
                            ExecutionState.UNKNOWN,
                            0));
        }
    }

    private static Map<String, String> parseQuery(String rawQuery) {
        Map<String, String> query = new HashMap<>();
        if (!rawQuery.isEmpty()) {
            WWWFormCodec.parse(rawQuery, StandardCharsets.UTF_8)
                    .forEach(
                            pair ->
                                    query.put(
                                            pair.getName(),
                                            pair.getValue() == null ? "" : pair.getValue()));
        }
        return query;
    }

    private static void checkHeaderSize(ClassicHttpRequest request) throws RefusedException {
        int size = request.getPath().length();
        for (Header header : request.getHeaders()) {
            size += header.getName().length() + MIN_SEPARATOR_BYTES;
            size += header.getValue() == null ? 0 : header.getValue().length();
        }
        if (size > HttpSettings.MAX_HEADER_BYTES) {
            throw tooLarge(
                    "The request line and headers exceed the limit of "
                            + HttpSettings.MAX_HEADER_BYTES
                            + " bytes.");
        }
    }

    private ApiRequest.BodyReader bodyReader(ClassicHttpRequest request, ByteBudget.Lease memory) {
        byte[][] cachedBody = new byte[1][];
        return () -> {
            if (cachedBody[0] == null) {
                cachedBody[0] = readBody(request.getEntity(), memory);
            }
            return cachedBody[0];
        };
    }

    private byte[] readBody(HttpEntity entity, ByteBudget.Lease memory)
            throws IOException, RefusedException {
        if (entity == null) {
            return new byte[0];
        }
        if (entity.getContentLength() > maxBodyBytes) {
            throw bodyTooLarge();
        }
        try {
            return readBounded(entity.getContent(), memory);
        } catch (MessageLimitException e) {
            if (e.limit() == MessageLimit.BODY) {
                throw bodyTooLarge();
            }
            throw new RefusedException(RequestMemory.refusalOf(e.limit()));
        } catch (SocketTimeoutException e) {
            throw bodyTimeout(e);
        }
    }

    private byte[] readBounded(InputStream in, ByteBudget.Lease memory)
            throws IOException, RefusedException {
        long endsAtMs = services.clock().nowMs() + BODY_TIMEOUT_MS;
        BoundedBuffer body = new BoundedBuffer(memory, MessageLimit.BODY, maxBodyBytes);
        byte[] chunk = new byte[READ_CHUNK_BYTES];
        for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
            body.append(chunk, 0, read);
            if (services.clock().nowMs() > endsAtMs) {
                throw new SocketTimeoutException("the body arrived too slowly");
            }
        }
        return body.detach();
    }

    private static RefusedException bodyTimeout(SocketTimeoutException cause) {
        return new RefusedException(
                Refusal.notExecuted(
                        BODY_TIMEOUT_STATUS,
                        "body_timeout",
                        "parse",
                        "The body arrived too slowly."),
                cause);
    }

    private RefusedException bodyTooLarge() {
        return tooLarge("The request body exceeds the limit of " + maxBodyBytes + " bytes.");
    }

    private static RefusedException tooLarge(String detail) {
        return new RefusedException(Refusal.notExecuted(413, "body_too_large", "parse", detail));
    }

    private void send(ClassicHttpRequest request, ApiResponse response, ResponseTrigger trigger)
            throws HttpException, IOException {
        ClassicHttpResponse httpResponse = new BasicClassicHttpResponse(response.status());
        response.headers().forEach(httpResponse::setHeader);
        if (response.contentType() != null && !response.contentType().isEmpty()) {
            // Not parsed: the content type of an endpoint may have a form that the library rejects.
            httpResponse.setHeader(HttpHeaders.CONTENT_TYPE, response.contentType());
        }
        boolean closeConnection = closeAfterRequests || !discardBody(request, response);
        if (closeConnection) {
            httpResponse.setHeader("Connection", "close");
        }
        if (response.writer() != null) {
            httpResponse.setEntity(new EntityTemplate(-1, null, null, response.writer()::writeTo));
        } else if (response.body() != null) {
            httpResponse.setEntity(new ByteArrayEntity(response.body(), null, false));
        }
        trigger.submitResponse(httpResponse);
    }

    /**
     * Reads and discards the rest of the request body.
     *
     * @return whether the body was read to its end, so that the connection can be reused
     */
    private boolean discardBody(ClassicHttpRequest request, ApiResponse response)
            throws IOException {
        HttpEntity entity = request.getEntity();
        if (entity == null) {
            return true;
        }
        // A body that arrived too slowly would delay its refusal by the same time again.
        boolean isSlow = response.status() == BODY_TIMEOUT_STATUS;
        if (!isSlow && discardAll(entity.getContent())) {
            return true;
        }
        // If an entity is set, the server reads the rest of it before it closes the connection.
        request.setEntity(null);
        return false;
    }

    private boolean discardAll(InputStream content) throws IOException {
        long endsAtMs = services.clock().nowMs() + BODY_TIMEOUT_MS;
        byte[] buffer = new byte[READ_CHUNK_BYTES];
        try {
            int total = 0;
            int count = content.read(buffer);
            while (count >= 0
                    && total < MAX_DISCARDED_BYTES
                    && services.clock().nowMs() < endsAtMs) {
                total += count;
                count = content.read(buffer);
            }
            return count < 0;
        } catch (MessageLimitException | SocketTimeoutException e) {
            // The response is sent, and the connection is closed.
            LOG.debug(
                    "SAP1209",
                    "The rest of a request exceeds a limit or did not arrive",
                    "cause",
                    e);
            return false;
        }
    }
}

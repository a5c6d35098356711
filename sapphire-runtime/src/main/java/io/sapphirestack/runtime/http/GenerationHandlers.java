package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.RecordKey;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.runtime.generation.GenerationRequest;
import io.sapphirestack.runtime.generation.GenerationStatus;
import io.sapphirestack.runtime.generation.TokenBatch;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

/** Handlers for creating, reading, resuming and cancelling generations. Thread-safe. */
final class GenerationHandlers {

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 10_000_000;

    private final FrontendServices services;
    private final Authenticator authenticator;
    private final AdmissionGate gate;
    private final Semaphore streams;
    private final Executor fetchExecutor;
    private final ObjectiveEventRecorder objectiveEvents;

    GenerationHandlers(
            FrontendServices services,
            Authenticator authenticator,
            AdmissionGate gate,
            Semaphore streams,
            Executor fetchExecutor) {
        this.services = services;
        this.authenticator = authenticator;
        this.gate = gate;
        this.streams = streams;
        this.fetchExecutor = fetchExecutor;
        this.objectiveEvents = new ObjectiveEventRecorder(services.burn());
    }

    void addTo(RouteTable routes) {
        routes.add("POST", "/v1/completions", this::createCompletion)
                .add("GET", "/v1/generations/{id}", this::status)
                .add("DELETE", "/v1/generations/{id}", this::cancel)
                .add("GET", "/v1/generations/{id}/stream", this::resumeStream);
    }

    private ApiResponse createCompletion(ApiRequest request) throws RefusedException, IOException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        gate.requireAdmission();
        services.admission().admit(caller.account(), caller.spec());
        JsonNode body = request.jsonObject();
        GenerationRequest generationRequest =
                new GenerationRequest(
                        caller.account(),
                        requiredString(body, "model"),
                        requiredString(body, "prompt"),
                        maxTokensOrDefault(body),
                        seedOrRandom(body),
                        request.idempotencyKey());
        boolean stream = optionalBoolean(body, "stream");
        long deadlineMs = deadlineMs(request);
        Runnable release = acquireStream();
        try {
            GenerationId id = services.generations().accept(generationRequest);
            GenerationDelivery delivery =
                    new GenerationDelivery(
                            createReader(id, caller, 0),
                            generationRequest.model(),
                            createLatencyRecorder(request, generationRequest.model(), true),
                            services.clock(),
                            deadlineMs);
            ApiResponse response =
                    stream
                            ? eventStreamResponse(new EventStream(delivery), Optional.empty())
                            : jsonResponse(new JsonCompletion(delivery));
            return response.header("Sapphire-Generation-Id", id.value()).onCompletion(release);
        } catch (RefusedException | IOException | RuntimeException e) {
            release.run();
            throw e;
        }
    }

    // An accepted generation can be resumed by its identifier, so a refusal is converted to a
    // response here, to which createCompletion adds the identifier.
    private static ApiResponse jsonResponse(JsonCompletion completion) throws IOException {
        try {
            return completion.toResponse();
        } catch (RefusedException e) {
            return ApiResponse.problem(e.refusal());
        }
    }

    private ApiResponse resumeStream(ApiRequest request) throws RefusedException, IOException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        gate.requireAdmittingReadiness();
        services.admission().admit(caller.account(), caller.spec());
        GenerationId id = generationId(request);
        long from = fromOffset(request);
        Runnable release = acquireStream();
        try {
            GenerationStatus status = services.generations().status(id, caller.account());
            // The first batch is read before the status line is sent, so that the request can still
            // be refused with a status.
            TokenReader reader = createReader(id, caller, from);
            Optional<TokenBatch> firstBatch = reader.pollBatch();
            String model = status.pin().model();
            EventStream eventStream =
                    new EventStream(
                            new GenerationDelivery(
                                    reader,
                                    model,
                                    createLatencyRecorder(request, model, false),
                                    services.clock(),
                                    deadlineMs(request)));
            return eventStreamResponse(eventStream, firstBatch)
                    .header("Sapphire-Generation-Id", id.value())
                    .onCompletion(release);
        } catch (RefusedException | IOException | RuntimeException e) {
            release.run();
            throw e;
        }
    }

    private ApiResponse status(ApiRequest request) throws RefusedException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        services.admission().admit(caller.account(), caller.spec());
        GenerationStatus status =
                services.generations().status(generationId(request), caller.account());
        ObjectNode body =
                ApiJson.MAPPER
                        .createObjectNode()
                        .put("id", status.id().value())
                        .put("phase", status.phase().name());
        body.set("model", ApiJson.MAPPER.valueToTree(status.pin()));
        body.put("committedTokens", status.committedTokens())
                .put("attempts", status.attempts())
                .put("recomputedTokens", status.recomputedTokens())
                .put("finishReason", status.finishReason());
        return ApiResponse.json(200, body);
    }

    private ApiResponse cancel(ApiRequest request) throws RefusedException {
        Authenticator.AuthenticatedAccount caller = authenticator.authenticateAccount(request);
        services.generations().cancel(generationId(request), caller.account());
        return ApiResponse.empty(204);
    }

    private static ApiResponse eventStreamResponse(
            EventStream eventStream, Optional<TokenBatch> firstBatch) {
        return ApiResponse.stream("text/event-stream", out -> eventStream.writeTo(out, firstBatch))
                .header("Cache-Control", "no-store");
    }

    private Runnable acquireStream() throws RefusedException {
        AdmissionGate.acquirePermit(streams, "streams");
        AtomicBoolean released = new AtomicBoolean();
        return () -> {
            if (released.compareAndSet(false, true)) {
                streams.release();
            }
        };
    }

    private TokenReader createReader(
            GenerationId id, Authenticator.AuthenticatedAccount caller, long from) {
        return new TokenReader(
                services.generations(),
                fetchExecutor,
                services.clock(),
                id,
                caller.account(),
                from);
    }

    private TokenLatencyRecorder createLatencyRecorder(
            ApiRequest request, String model, boolean measuresFirstToken) {
        ControlView view = services.blackboard().control().read();
        Optional<ModelSpec> spec =
                view.findRecord(recordKeyOrUnknown("model", model))
                        .flatMap(services.specs()::model);
        String service = spec.map(ModelSpec::service).orElse(TokenLatencyRecorder.UNKNOWN_SERVICE);
        ObjectivesSpec objectives =
                spec.flatMap(
                                found ->
                                        view.findRecord(
                                                recordKeyOrUnknown("service", found.service())))
                        .flatMap(services.specs()::service)
                        .map(ServiceSpec::objectives)
                        .orElse(ObjectivesSpec.DEFAULT);
        return new TokenLatencyRecorder(
                services.metrics(),
                objectiveEvents,
                services.clock(),
                service,
                objectives,
                request.receivedAtMs(),
                measuresFirstToken);
    }

    private static RecordKey recordKeyOrUnknown(String kind, String name) {
        try {
            return new RecordKey(kind, name);
        } catch (IllegalArgumentException e) {
            return new RecordKey(kind, "unknown");
        }
    }

    private static long deadlineMs(ApiRequest request) throws RefusedException {
        return request.timeoutMs().isPresent()
                ? request.receivedAtMs() + request.timeoutMs().getAsLong()
                : Long.MAX_VALUE;
    }

    private static GenerationId generationId(ApiRequest request) throws RefusedException {
        try {
            return GenerationId.of(request.pathParameter("id"));
        } catch (IllegalArgumentException e) {
            throw ApiRequest.notFound("There is no generation with this id.");
        }
    }

    // A caller that reconnects sends its original URL again and adds the header, so the header
    // takes precedence.
    private static long fromOffset(ApiRequest request) throws RefusedException {
        Optional<String> lastEventId = request.header("Last-Event-ID");
        if (lastEventId.isPresent() && !lastEventId.get().isEmpty()) {
            return ApiRequest.parseNumber("Last-Event-ID", lastEventId.get(), 0, Long.MAX_VALUE - 1)
                    + 1;
        }
        return request.queryNumber("from", 0, Long.MAX_VALUE).orElse(0);
    }

    private static String requiredString(JsonNode body, String field) throws RefusedException {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw ApiRequest.badRequest(field + " must be a string.");
        }
        return value.textValue();
    }

    private static boolean optionalBoolean(JsonNode body, String field) throws RefusedException {
        JsonNode value = body.path(field);
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            throw ApiRequest.badRequest(field + " must be true or false.");
        }
        return value.asBoolean(false);
    }

    private static int maxTokensOrDefault(JsonNode body) throws RefusedException {
        JsonNode value = body.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.canConvertToInt()
                || !value.isIntegralNumber()
                || value.intValue() < 1
                || value.intValue() > MAX_TOKENS_LIMIT) {
            throw ApiRequest.badRequest(
                    "max_tokens must be an integer from 1 to " + MAX_TOKENS_LIMIT + ".");
        }
        return value.intValue();
    }

    private static long seedOrRandom(JsonNode body) throws RefusedException {
        JsonNode value = body.path("seed");
        if (value.isMissingNode() || value.isNull()) {
            return ThreadLocalRandom.current().nextLong();
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw ApiRequest.badRequest("seed must be an integer.");
        }
        return value.longValue();
    }
}

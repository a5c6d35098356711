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

/** Handlers of completions and generations. Thread-safe. */
final class GenerationHandlers {

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_MAX_TOKENS = 10_000_000;

    private final FrontendServices services;
    private final Authenticator authenticator;
    private final AdmissionGate gate;
    private final Semaphore streams;
    private final Executor fetchExecutor;
    private final ObjectiveEvents events;

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
        this.events = new ObjectiveEvents(services.burn());
    }

    void addTo(RouteTable routes) {
        routes.add("POST", "/v1/completions", this::complete)
                .add("GET", "/v1/generations/{id}", this::status)
                .add("DELETE", "/v1/generations/{id}", this::cancel)
                .add("GET", "/v1/generations/{id}/stream", this::resume);
    }

    private ApiResponse complete(ApiRequest request) throws RefusedException, IOException {
        Authenticator.Caller caller = authenticator.caller(request);
        gate.requireNewWork();
        services.admission().admit(caller.account(), caller.spec());
        JsonNode body = request.json();
        GenerationRequest wanted =
                new GenerationRequest(
                        caller.account(),
                        text(body, "model"),
                        text(body, "prompt"),
                        maxTokens(body),
                        seed(body),
                        request.idempotencyKey());
        boolean stream = flag(body, "stream");
        long deadlineMs = deadline(request);
        Runnable release = acquireStream();
        try {
            GenerationId id = services.generations().accept(wanted);
            AnswerSource source =
                    new AnswerSource(
                            reader(id, caller, 0),
                            wanted.model(),
                            observer(request, wanted.model(), true),
                            services.clock(),
                            deadlineMs);
            ApiResponse response =
                    stream
                            ? events(new EventStream(source), Optional.empty())
                            : wholeAnswer(new WholeAnswer(source));
            return response.header("Sapphire-Generation-Id", id.value()).afterwards(release);
        } catch (RefusedException | IOException | RuntimeException e) {
            release.run();
            throw e;
        }
    }

    // Once a generation is accepted its identifier is always told, so that it can be continued.
    private static ApiResponse wholeAnswer(WholeAnswer answer) throws IOException {
        try {
            return answer.answer();
        } catch (RefusedException e) {
            return ApiResponse.problem(e.refusal());
        }
    }

    private ApiResponse resume(ApiRequest request) throws RefusedException, IOException {
        Authenticator.Caller caller = authenticator.caller(request);
        gate.requireAdmitting();
        services.admission().admit(caller.account(), caller.spec());
        GenerationId id = generationId(request);
        long from = fromOffset(request);
        Runnable release = acquireStream();
        try {
            GenerationStatus status = services.generations().status(id, caller.account());
            // The first read happens before the status is sent, so that it can be refused.
            TokenReader reader = reader(id, caller, from);
            Optional<TokenBatch> first = reader.next();
            String model = status.pin().model();
            EventStream events =
                    new EventStream(
                            new AnswerSource(
                                    reader,
                                    model,
                                    observer(request, model, false),
                                    services.clock(),
                                    deadline(request)));
            return events(events, first)
                    .header("Sapphire-Generation-Id", id.value())
                    .afterwards(release);
        } catch (RefusedException | IOException | RuntimeException e) {
            release.run();
            throw e;
        }
    }

    private ApiResponse status(ApiRequest request) throws RefusedException {
        Authenticator.Caller caller = authenticator.caller(request);
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
        Authenticator.Caller caller = authenticator.caller(request);
        services.generations().cancel(generationId(request), caller.account());
        return ApiResponse.empty(204);
    }

    private static ApiResponse events(EventStream events, Optional<TokenBatch> first) {
        return ApiResponse.stream("text/event-stream", out -> events.writeTo(out, first))
                .header("Cache-Control", "no-store");
    }

    private Runnable acquireStream() throws RefusedException {
        AdmissionGate.acquire(streams, "streams");
        AtomicBoolean released = new AtomicBoolean();
        return () -> {
            if (released.compareAndSet(false, true)) {
                streams.release();
            }
        };
    }

    private TokenReader reader(GenerationId id, Authenticator.Caller caller, long from) {
        return new TokenReader(
                services.generations(),
                fetchExecutor,
                services.clock(),
                id,
                caller.account(),
                from);
    }

    private StreamObserver observer(ApiRequest request, String model, boolean fromStart) {
        ControlView view = services.blackboard().control().read();
        Optional<ModelSpec> spec =
                view.findRecord(key("model", model)).flatMap(services.specs()::model);
        String service = spec.map(ModelSpec::service).orElse(StreamObserver.UNKNOWN);
        ObjectivesSpec objectives =
                spec.flatMap(found -> view.findRecord(key("service", found.service())))
                        .flatMap(services.specs()::service)
                        .map(ServiceSpec::objectives)
                        .orElse(ObjectivesSpec.DEFAULT);
        return new StreamObserver(
                services.metrics(),
                events,
                services.clock(),
                service,
                objectives,
                request.receivedAtMs(),
                fromStart);
    }

    private static RecordKey key(String kind, String name) {
        try {
            return new RecordKey(kind, name);
        } catch (IllegalArgumentException e) {
            return new RecordKey(kind, "unknown");
        }
    }

    private static long deadline(ApiRequest request) throws RefusedException {
        return request.deadlineMs().isPresent()
                ? request.receivedAtMs() + request.deadlineMs().getAsLong()
                : Long.MAX_VALUE;
    }

    private static GenerationId generationId(ApiRequest request) throws RefusedException {
        try {
            return GenerationId.of(request.path("id"));
        } catch (IllegalArgumentException e) {
            throw ApiRequest.notFound("There is no generation with this id.");
        }
    }

    // A client that reconnects repeats its first URL and adds the header, so the header counts.
    private static long fromOffset(ApiRequest request) throws RefusedException {
        Optional<String> lastEventId = request.header("Last-Event-ID");
        if (lastEventId.isPresent() && !lastEventId.get().isEmpty()) {
            return ApiRequest.number("Last-Event-ID", lastEventId.get(), 0, Long.MAX_VALUE - 1) + 1;
        }
        return request.queryNumber("from", 0, Long.MAX_VALUE).orElse(0);
    }

    private static String text(JsonNode body, String field) throws RefusedException {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw ApiRequest.badRequest(field + " must be a string.");
        }
        return value.textValue();
    }

    private static boolean flag(JsonNode body, String field) throws RefusedException {
        JsonNode value = body.path(field);
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            throw ApiRequest.badRequest(field + " must be true or false.");
        }
        return value.asBoolean(false);
    }

    private static int maxTokens(JsonNode body) throws RefusedException {
        JsonNode value = body.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.canConvertToInt()
                || !value.isIntegralNumber()
                || value.intValue() < 1
                || value.intValue() > MAX_MAX_TOKENS) {
            throw ApiRequest.badRequest("max_tokens must be from 1 to " + MAX_MAX_TOKENS + ".");
        }
        return value.intValue();
    }

    private static long seed(JsonNode body) throws RefusedException {
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

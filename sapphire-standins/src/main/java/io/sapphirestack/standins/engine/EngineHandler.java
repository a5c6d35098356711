package io.sapphirestack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.HttpMessages;
import io.sapphirestack.standins.support.JsonSupport;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;

/** HTTP interface of the engine. Thread-safe. */
final class EngineHandler implements HttpRequestHandler {

    private static final Pattern STREAM_TARGET =
            Pattern.compile("/v1/streams/([^/?]+)/(\\d+)(\\?.*)?");
    // Half of the 200 ms that the engine API allows, so that a scheduling delay does not exceed the
    // limit.
    private static final long KEEP_ALIVE_INTERVAL_MS = 100;

    private final EngineOptions options;
    private final MillisClock clock;
    private final BatchScheduler scheduler;
    private final ModelRegistry models;
    private final EngineFaults faults;

    EngineHandler(
            EngineOptions options,
            MillisClock clock,
            BatchScheduler scheduler,
            ModelRegistry models,
            EngineFaults faults) {
        this.options = options;
        this.clock = clock;
        this.scheduler = scheduler;
        this.models = models;
        this.faults = faults;
    }

    @Override
    public void handle(
            ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws IOException {
        String target = request.getMethod() + " " + request.getPath();
        try {
            pause(options.networkDelayMs());
            route(target, request, response);
        } catch (EngineRefusalException e) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("code", e.code());
            body.put("highestFencingToken", models.highestFencingToken());
            HttpMessages.respondJson(response, e.status(), body);
            response.setHeader(HttpMessages.RUN_HEADER, "not-run");
        } catch (com.fasterxml.jackson.core.JsonProcessingException
                | IllegalArgumentException
                | NullPointerException e) {
            HttpMessages.respondNotRun(response, 400, "bad_request");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void route(String target, ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException, EngineRefusalException {
        Matcher stream = STREAM_TARGET.matcher(request.getPath());
        if (target.equals("POST /v1/streams")) {
            StreamRequest streamRequest =
                    JsonSupport.read(HttpMessages.readBody(request), StreamRequest.class);
            AttemptStream attemptStream = scheduler.submit(streamRequest);
            HttpMessages.respondEvents(response, out -> writeStream(attemptStream, 0, out));
        } else if (stream.matches()) {
            serveStream(request, response, stream);
        } else if (target.equals("POST /v1/orders")) {
            JsonNode body = JsonSupport.readTree(HttpMessages.readBody(request));
            executeOrder(body);
            HttpMessages.respondJson(response, 202, Map.of());
        } else if (target.equals("POST /faults")) {
            injectFaults(JsonSupport.readTree(HttpMessages.readBody(request)));
            HttpMessages.respondJson(response, 200, Map.of());
        } else if (target.equals("GET /v1/state")) {
            HttpMessages.respondJson(response, 200, engineState());
        } else if (target.equals("GET /health")) {
            HttpMessages.respondJson(response, 200, Map.of());
        } else {
            HttpMessages.respondNotRun(response, 404, "not_found");
        }
    }

    private void serveStream(
            ClassicHttpRequest request, ClassicHttpResponse response, Matcher stream) {
        String generation = stream.group(1);
        int attempt = Integer.parseInt(stream.group(2));
        if (request.getMethod().equals("DELETE")) {
            scheduler.cancel(generation, attempt);
            response.setCode(204);
            return;
        }
        long fromOffset = HttpMessages.queryParameter(request.getPath(), "from", 0);
        Optional<AttemptStream> attemptStream = scheduler.find(generation, attempt);
        if (attemptStream.isPresent()) {
            HttpMessages.respondEvents(
                    response, out -> writeStream(attemptStream.get(), fromOffset, out));
        } else {
            HttpMessages.respondNotRun(response, 404, "not_found");
        }
    }

    private void executeOrder(JsonNode body) throws IOException, EngineRefusalException {
        ModelPin pin = JsonSupport.read(JsonSupport.toBytes(body.path("model")), ModelPin.class);
        EndpointOrder order =
                new EndpointOrder(
                        EndpointOrder.Action.valueOf(body.path("action").asText()),
                        pin,
                        body.path("role").asText(""),
                        body.path("weightBytes").asLong());
        models.execute(body.path("fencingToken").asLong(), order);
    }

    private void injectFaults(JsonNode body) {
        if (body.has("exitAfterTokens")) {
            faults.exitAfterTokens(body.get("exitAfterTokens").asLong());
        }
        if (body.has("silenceAfterTokens")) {
            faults.stallOneStreamAfterTokens(body.get("silenceAfterTokens").asLong());
        }
        if (body.has("slowDown")) {
            faults.slowDownFactor(body.get("slowDown").asDouble());
        }
    }

    private Map<String, Object> engineState() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("models", models.loadedModels());
        state.put("loading", models.loadingModels());
        state.put("role", models.role());
        state.put("highestFencingToken", models.highestFencingToken());
        state.put("running", scheduler.activeCount());
        state.put("queued", scheduler.queuedCount());
        return state;
    }

    private void writeStream(AttemptStream stream, long fromOffset, OutputStream out)
            throws IOException {
        stream.addReader();
        try {
            writeEvents(stream, fromOffset, out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            stream.removeReader(clock.nowMs());
        }
    }

    private void writeEvents(AttemptStream stream, long fromOffset, OutputStream out)
            throws IOException, InterruptedException {
        long nextOffset = fromOffset;
        long deliveredTokens = 0;
        writeKeepAlive(out);
        while (true) {
            AttemptStream.OutputPart part = stream.awaitTokens(nextOffset, KEEP_ALIVE_INTERVAL_MS);
            nextOffset = part.fromOffset();
            for (AttemptStream.TimedToken token : part.tokens()) {
                pause(token.computedAtMs() + options.networkDelayMs() - clock.nowMs());
                writeEvent(out, "id: " + nextOffset, Map.of("token", token.text()));
                nextOffset++;
                deliveredTokens++;
                if (faults.shouldStall(deliveredTokens)) {
                    out.flush();
                    stallForever();
                }
            }
            if (!part.finishReason().isEmpty()) {
                Map<String, Object> end = new LinkedHashMap<>();
                end.put("finishReason", part.finishReason());
                end.put("prefilledTokens", part.prefilledTokens());
                end.put("cachedTokens", part.cachedTokens());
                writeEvent(out, "event: end", end);
                out.flush();
                return;
            }
            if (part.tokens().isEmpty()) {
                writeKeepAlive(out);
            } else {
                out.flush();
            }
        }
    }

    private static void writeEvent(OutputStream out, String firstLine, Object data)
            throws IOException {
        out.write((firstLine + "\ndata: ").getBytes(StandardCharsets.UTF_8));
        out.write(JsonSupport.toBytes(data));
        out.write('\n');
        out.write('\n');
    }

    private static void writeKeepAlive(OutputStream out) throws IOException {
        out.write(": keep-alive\n\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void stallForever() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }

    private static void pause(long ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep(ms);
        }
    }
}

package io.sapphirestack.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.support.JsonSupport;
import io.sapphirestack.standins.support.Responses;
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

    private static final Pattern STREAM = Pattern.compile("/v1/streams/([^/?]+)/(\\d+)(\\?.*)?");
    // Half of the 200 ms that the contract allows, so that a scheduling delay does not pass it.
    private static final long KEEP_ALIVE_MS = 100;

    private final EngineOptions options;
    private final MillisClock clock;
    private final BatchScheduler scheduler;
    private final ModelHolder models;
    private final EngineFaults faults;

    EngineHandler(
            EngineOptions options,
            MillisClock clock,
            BatchScheduler scheduler,
            ModelHolder models,
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
        } catch (EngineRefusal e) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("code", e.code());
            body.put("highestFencingToken", models.highestFencingToken());
            Responses.json(response, e.status(), body);
            response.setHeader(Responses.RUN_HEADER, "not-run");
        } catch (com.fasterxml.jackson.core.JsonProcessingException
                | IllegalArgumentException
                | NullPointerException e) {
            Responses.notRun(response, 400, "bad_request");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void route(String target, ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException, EngineRefusal {
        Matcher stream = STREAM.matcher(request.getPath());
        if (target.equals("POST /v1/streams")) {
            StreamRequest start = JsonSupport.read(Responses.body(request), StreamRequest.class);
            AttemptStream output = scheduler.submit(start);
            Responses.events(response, out -> write(output, 0, out));
        } else if (stream.matches()) {
            serveStream(request, response, stream);
        } else if (target.equals("POST /v1/orders")) {
            JsonNode body = JsonSupport.tree(Responses.body(request));
            takeOrder(body);
            Responses.json(response, 202, Map.of());
        } else if (target.equals("POST /faults")) {
            injectFaults(JsonSupport.tree(Responses.body(request)));
            Responses.json(response, 200, Map.of());
        } else if (target.equals("GET /v1/state")) {
            Responses.json(response, 200, state());
        } else if (target.equals("GET /health")) {
            Responses.json(response, 200, Map.of());
        } else {
            Responses.notRun(response, 404, "not_found");
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
        long from = Responses.longParameter(request.getPath(), "from", 0);
        Optional<AttemptStream> output = scheduler.find(generation, attempt);
        if (output.isPresent()) {
            Responses.events(response, out -> write(output.get(), from, out));
        } else {
            Responses.notRun(response, 404, "not_found");
        }
    }

    private void takeOrder(JsonNode body) throws IOException, EngineRefusal {
        ModelPin pin = JsonSupport.read(JsonSupport.bytes(body.path("model")), ModelPin.class);
        EndpointOrder order =
                new EndpointOrder(
                        EndpointOrder.Action.valueOf(body.path("action").asText()),
                        pin,
                        body.path("role").asText(""),
                        body.path("weightBytes").asLong());
        models.take(body.path("fencingToken").asLong(), order);
    }

    private void injectFaults(JsonNode body) {
        if (body.has("exitAfterTokens")) {
            faults.exitAfterTokens(body.get("exitAfterTokens").asLong());
        }
        if (body.has("silenceAfterTokens")) {
            faults.silenceOneStreamAfterTokens(body.get("silenceAfterTokens").asLong());
        }
        if (body.has("slowDown")) {
            faults.slowDown(body.get("slowDown").asDouble());
        }
    }

    private Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("models", models.loaded());
        state.put("loading", models.loading());
        state.put("role", models.role());
        state.put("highestFencingToken", models.highestFencingToken());
        state.put("running", scheduler.runningCount());
        state.put("queued", scheduler.queuedCount());
        return state;
    }

    private void write(AttemptStream stream, long from, OutputStream out) throws IOException {
        stream.readerCame();
        try {
            writeEvents(stream, from, out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            stream.readerLeft(clock.nowMs());
        }
    }

    private void writeEvents(AttemptStream stream, long from, OutputStream out)
            throws IOException, InterruptedException {
        long next = from;
        long delivered = 0;
        keepAlive(out);
        while (true) {
            AttemptStream.Progress progress = stream.await(next, KEEP_ALIVE_MS);
            next = progress.fromOffset();
            for (AttemptStream.TimedToken token : progress.tokens()) {
                pause(token.atMs() + options.networkDelayMs() - clock.nowMs());
                event(out, "id: " + next, Map.of("token", token.text()));
                next++;
                delivered++;
                if (faults.becomesSilent(delivered)) {
                    out.flush();
                    stayOpenSilently();
                }
            }
            if (!progress.finishReason().isEmpty()) {
                Map<String, Object> end = new LinkedHashMap<>();
                end.put("finishReason", progress.finishReason());
                end.put("prefilledTokens", progress.prefilledTokens());
                end.put("cachedTokens", progress.cachedTokens());
                event(out, "event: end", end);
                out.flush();
                return;
            }
            if (progress.tokens().isEmpty()) {
                keepAlive(out);
            } else {
                out.flush();
            }
        }
    }

    private static void event(OutputStream out, String firstLine, Object data) throws IOException {
        out.write((firstLine + "\ndata: ").getBytes(StandardCharsets.UTF_8));
        out.write(JsonSupport.bytes(data));
        out.write('\n');
        out.write('\n');
    }

    private static void keepAlive(OutputStream out) throws IOException {
        out.write(": keep-alive\n\n".getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void stayOpenSilently() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }

    private static void pause(long ms) throws InterruptedException {
        if (ms > 0) {
            Thread.sleep(ms);
        }
    }
}

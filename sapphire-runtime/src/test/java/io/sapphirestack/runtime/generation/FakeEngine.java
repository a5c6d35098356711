package io.sapphirestack.runtime.generation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.routing.EndpointState;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.io.CloseMode;

/**
 * Engine on the loopback interface whose progress the test controls: it generates tokens only up to
 * the released offset. The text of a token contains the engine, attempt, prompt and offset, so that
 * tokens of different attempts always differ.
 */
final class FakeEngine implements Closeable {

    static final ModelPin PIN = new ModelPin("base", "", "1");

    /** An engine stops abruptly when it begins to run a prompt with this word. */
    static final String DEADLY = "deadly";

    private static final class Stream {
        final List<String> tokens = new ArrayList<>();
        int attempt;
        int maxTokens;
        String prompt;
        boolean cancelled;
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long KEEP_ALIVE_MS = 50;

    private final String name;
    private final HttpServer server;
    private final Map<String, Stream> streams = new HashMap<>();
    private long releasedOffset;
    private int openedStreams;
    private int lastStalledStream;
    private int probes;
    private int startedAttempts;
    private boolean paused;
    private boolean closed;

    FakeEngine(String name) throws IOException {
        this.name = name;
        this.server =
                ServerBootstrap.bootstrap()
                        .setLocalAddress(InetAddress.getLoopbackAddress())
                        .setCanonicalHostName("127.0.0.1")
                        .setListenerPort(0)
                        .register("*", (request, response, context) -> handle(request, response))
                        .create();
        server.start();
    }

    EndpointState state() {
        return new EndpointState(
                EndpointId.of(name),
                "scribe",
                "127.0.0.1:" + server.getLocalPort(),
                "az1",
                1,
                Set.of(PIN),
                EndpointLoad.NONE,
                0);
    }

    /** Lets every stream generate tokens up to an offset, exclusive. */
    synchronized void release(long offset) {
        releasedOffset = offset;
        notifyAll();
    }

    /** Sends no more data on the streams that are open; later streams work. */
    synchronized void stallOpenStreams() {
        lastStalledStream = openedStreams;
        notifyAll();
    }

    /** Pauses or resumes the engine. A paused engine accepts connections but sends no data. */
    synchronized void setPaused(boolean newPaused) {
        paused = newPaused;
        notifyAll();
    }

    /** Waits until the engine has received a number of probes in total. */
    synchronized void awaitProbes(int count) throws InterruptedException {
        while (probes < count) {
            wait();
        }
    }

    synchronized int startedAttempts() {
        return startedAttempts;
    }

    /** Waits until an attempt has been cancelled. */
    synchronized void awaitCancelled() throws InterruptedException {
        while (streams.values().stream().noneMatch(stream -> stream.cancelled)) {
            wait();
        }
    }

    /** Stops the engine abruptly: connections are reset and new ones are refused. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.close(CloseMode.IMMEDIATE);
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        String path = request.getRequestUri();
        synchronized (this) {
            if (path.equals("/health")) {
                probes++;
                notifyAll();
            }
            awaitNotPaused();
        }
        if (path.equals("/health")) {
            response.setCode(200);
        } else if (request.getMethod().equals("POST")) {
            start(MAPPER.readTree(request.getEntity().getContent()), response);
        } else if (request.getMethod().equals("DELETE")) {
            synchronized (this) {
                Stream stream = streams.get(path.substring("/v1/streams/".length()));
                if (stream != null) {
                    stream.cancelled = true;
                }
                notifyAll();
            }
            response.setCode(204);
        } else {
            int query = path.indexOf("?from=");
            String key = path.substring("/v1/streams/".length(), query);
            attach(key, Integer.parseInt(path.substring(query + 6)), response);
        }
    }

    private synchronized void start(JsonNode body, ClassicHttpResponse response) {
        String key = body.get("generation").asText() + "/" + body.get("attempt").asInt();
        if (streams.containsKey(key)) {
            response.setCode(409);
            return;
        }
        startedAttempts++;
        Stream stream = new Stream();
        stream.attempt = body.get("attempt").asInt();
        stream.maxTokens = body.get("maxTokens").asInt();
        stream.prompt = body.get("prompt").asText();
        body.get("prefix").forEach(token -> stream.tokens.add(token.asText()));
        streams.put(key, stream);
        if (stream.prompt.contains(DEADLY)) {
            new Thread(this::close, "crash of " + name).start();
        }
        stream(stream, stream.tokens.size(), response);
    }

    private synchronized void attach(String key, int from, ClassicHttpResponse response) {
        Stream stream = streams.get(key);
        if (stream == null) {
            response.setCode(404);
        } else {
            stream(stream, from, response);
        }
    }

    private void stream(Stream stream, int from, ClassicHttpResponse response) {
        int streamNumber = ++openedStreams;
        response.setCode(200);
        response.setEntity(
                new EntityTemplate(
                        -1,
                        ContentType.TEXT_EVENT_STREAM,
                        null,
                        out -> write(stream, from, streamNumber, out)));
    }

    private void write(Stream stream, int from, int streamNumber, OutputStream out)
            throws IOException {
        int offset = from;
        send(out, ": keep-alive\n\n");
        while (true) {
            String event = nextEvent(stream, offset, streamNumber);
            send(out, event);
            if (event.startsWith("event: end")) {
                return;
            }
            offset += event.startsWith("id:") ? 1 : 0;
        }
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private synchronized String nextEvent(Stream stream, int offset, int streamNumber)
            throws IOException {
        awaitNotPaused();
        while (streamNumber <= lastStalledStream) {
            awaitChange(0);
        }
        if (offset == stream.maxTokens) {
            return "event: end\ndata: {\"finishReason\":\"length\"}\n\n";
        }
        if (offset == stream.tokens.size() && offset >= releasedOffset) {
            awaitChange(KEEP_ALIVE_MS);
            awaitNotPaused();
            while (streamNumber <= lastStalledStream) {
                awaitChange(0);
            }
        }
        if (offset == stream.tokens.size() && offset < releasedOffset) {
            stream.tokens.add(name + "." + stream.attempt + "." + stream.prompt + "." + offset);
        }
        return offset < stream.tokens.size()
                ? "id: " + offset + "\ndata: {\"token\":\"" + stream.tokens.get(offset) + "\"}\n\n"
                : ": keep-alive\n\n";
    }

    private synchronized void awaitNotPaused() throws IOException {
        while (paused) {
            awaitChange(0);
        }
    }

    private synchronized void awaitChange(long timeoutMs) throws IOException {
        try {
            wait(timeoutMs);
        } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
        }
        if (closed) {
            throw new IOException("engine is closed");
        }
    }
}

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
 * Engine on loopback whose progress the test controls: tokens come only up to the released offset.
 * Token texts name the engine and the attempt, so that tokens of two attempts always differ.
 */
final class FakeEngine implements Closeable {

    static final ModelPin PIN = new ModelPin("base", "", "1");

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
    private int connections;
    private int silentUpTo;
    private int probes;
    private int started;
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

    /** Lets every stream go on up to an offset. */
    synchronized void release(long offset) {
        releasedOffset = offset;
        notifyAll();
    }

    /** Makes the open connections silent for ever; new ones work. */
    synchronized void silenceOpenConnections() {
        silentUpTo = connections;
        notifyAll();
    }

    synchronized void pause(boolean pause) {
        paused = pause;
        notifyAll();
    }

    synchronized void awaitProbes(int count) throws InterruptedException {
        while (probes < count) {
            wait();
        }
    }

    synchronized int started() {
        return started;
    }

    synchronized void awaitCancelled() throws InterruptedException {
        while (streams.values().stream().noneMatch(stream -> stream.cancelled)) {
            wait();
        }
    }

    /** Kills the engine: connections are reset and new ones are refused. */
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
            awaitRunning();
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
        started++;
        Stream stream = new Stream();
        stream.attempt = body.get("attempt").asInt();
        stream.maxTokens = body.get("maxTokens").asInt();
        stream.prompt = body.get("prompt").asText();
        body.get("prefix").forEach(token -> stream.tokens.add(token.asText()));
        streams.put(key, stream);
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
        int connection = ++connections;
        response.setCode(200);
        response.setEntity(
                new EntityTemplate(
                        -1,
                        ContentType.TEXT_EVENT_STREAM,
                        null,
                        out -> write(stream, from, connection, out)));
    }

    private void write(Stream stream, int from, int connection, OutputStream out)
            throws IOException {
        int offset = from;
        send(out, ": keep-alive\n\n");
        while (true) {
            String event = next(stream, offset, connection);
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

    private synchronized String next(Stream stream, int offset, int connection) throws IOException {
        awaitRunning();
        while (connection <= silentUpTo) {
            awaitChange(0);
        }
        if (offset == stream.maxTokens) {
            return "event: end\ndata: {\"finishReason\":\"length\"}\n\n";
        }
        if (offset == stream.tokens.size() && offset >= releasedOffset) {
            awaitChange(KEEP_ALIVE_MS);
            awaitRunning();
            while (connection <= silentUpTo) {
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

    private synchronized void awaitRunning() throws IOException {
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

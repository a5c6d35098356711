package io.sapphirestack.standins.load;

import io.sapphirestack.standins.engine.ExpectedOutput;
import io.sapphirestack.standins.service.ServiceServer;
import io.sapphirestack.standins.support.HttpMessages;
import io.sapphirestack.standins.support.JsonSupport;
import io.sapphirestack.standins.support.StandInServer;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Two HTTP servers that respond like instances. They can break each stream after a number of tokens
 * and send one wrong token.
 */
final class FakeInstances implements Closeable {

    private static final int TOKENS = 20;

    final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<StandInServer> servers = new ArrayList<>();
    private final Map<String, ExpectedOutput> outputs = new ConcurrentHashMap<>();
    private final int breakAfterTokens;
    private final int wrongTokenOffset;

    FakeInstances(int breakAfterTokens, int wrongTokenOffset) throws IOException {
        this.breakAfterTokens = breakAfterTokens;
        this.wrongTokenOffset = wrongTokenOffset;
        for (int i = 0; i < 2; i++) {
            servers.add(
                    StandInServer.start(
                            "127.0.0.1:0",
                            (request, response, context) -> handle(request, response)));
        }
    }

    List<String> addresses() {
        return servers.stream().map(StandInServer::address).toList();
    }

    private void handle(ClassicHttpRequest request, ClassicHttpResponse response)
            throws IOException {
        String path = request.getPath();
        requests.add(request.getMethod() + " " + path);
        if (path.equals("/v1/addresses")) {
            List<Map<String, Object>> list = new ArrayList<>();
            addresses().forEach(a -> list.add(Map.of("address", a, "weight", 1)));
            HttpMessages.respondJson(response, 200, Map.of("ttlMs", 60_000, "addresses", list));
        } else if (path.equals("/v1/completions")) {
            var body = JsonSupport.readTree(HttpMessages.readBody(request));
            String id = "g-i1-1-" + outputs.size() + "-ff";
            outputs.put(
                    id,
                    ExpectedOutput.of(body.path("prompt").asText(), body.path("seed").asLong()));
            respondStream(response, id, 0);
        } else if (path.startsWith("/v1/generations/")) {
            String lastEventId = HttpMessages.header(request, "Last-Event-ID", () -> "-1");
            respondStream(response, path.split("/")[3], 1 + Integer.parseInt(lastEventId));
        } else if (path.contains("/read/")) {
            String item = path.substring(path.indexOf("/read/") + 6);
            HttpMessages.respondJson(response, 200, ServiceServer.expectedReadContent(item));
        } else {
            HttpMessages.respondJson(response, 503, Map.of("code", "overloaded", "ran", "no"));
        }
    }

    private void respondStream(ClassicHttpResponse response, String id, int fromOffset) {
        response.setHeader("Sapphire-Generation-Id", id);
        HttpMessages.respondEvents(response, out -> writeEvents(out, id, fromOffset));
    }

    private void writeEvents(OutputStream out, String id, int fromOffset) throws IOException {
        for (int i = fromOffset; i < TOKENS; i++) {
            if (i - fromOffset == breakAfterTokens) {
                out.flush();
                throw new IOException("stream broken on purpose");
            }
            String text = i == wrongTokenOffset ? "wrong" : outputs.get(id).token(i);
            byte[] data = JsonSupport.toBytes(Map.of("choices", List.of(Map.of("text", text))));
            out.write((": keep-alive\n\nid: " + i + "\ndata: ").getBytes(StandardCharsets.UTF_8));
            out.write(data);
            out.write("\n\n".getBytes(StandardCharsets.UTF_8));
        }
        out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        servers.forEach(StandInServer::close);
    }
}

package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against prompts that crash one engine after the other until none is left. */
@Timeout(60)
class CrashingPromptTests {

    private static final int ENGINES = 12;

    /** Longer than the time within which crashes count as one. */
    private static final int PREFILL_MS = 400;

    private final AtomicInteger crashes = new AtomicInteger();
    private final List<ScriptedEndpoint> engines = new ArrayList<>();
    private RelayTestBed testBed;

    /** Time for which the listener of an engine outlives its connections, in milliseconds. */
    private volatile long listenerDelayMs;

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            engines.add(
                    new ScriptedEndpoint(
                            String.format("e%02d", i), "z" + i % 4, this::answerOrCrash));
        }
        testBed = new RelayTestBed(engines.toArray(ScriptedEndpoint[]::new)).withTrafficPlan();
    }

    @AfterEach
    void stop() throws IOException {
        testBed.close();
        for (ScriptedEndpoint engine : engines) {
            engine.close();
        }
    }

    /** Sends the head of a stream, then either ends the engine or completes the stream. */
    private void answerOrCrash(ScriptedEndpoint.Received request, Socket socket, OutputStream out)
            throws Exception {
        write(out, streamHeader(request, "s"));
        if (request.headers().getOrDefault("Sapphire-Prompt-Parts", "").contains("deadly")) {
            socket.setSoTimeout(PREFILL_MS);
            readUntilTimeout(socket);
            ScriptedEndpoint engine = engineOf(socket);
            if (listenerDelayMs == 0) {
                engine.close();
            } else {
                testBed.schedule(listenerDelayMs, () -> closed(engine));
            }
            crashes.incrementAndGet();
            throw new IOException("the engine crashed");
        }
        write(out, event(1) + event(2) + "0\r\n\r\n");
    }

    private static Object closed(ScriptedEndpoint engine) throws IOException {
        engine.close();
        return engine;
    }

    private static void readUntilTimeout(Socket socket) throws IOException {
        try {
            socket.getInputStream().read();
        } catch (SocketTimeoutException e) {
            return;
        }
    }

    private ScriptedEndpoint engineOf(Socket socket) {
        String suffix = ":" + socket.getLocalPort();
        return engines.stream()
                .filter(engine -> engine.state().address().endsWith(suffix))
                .findFirst()
                .orElseThrow();
    }

    private String stream(int number, String parts) throws IOException {
        return testBed.call(
                RelayTestBed.request(
                        "r" + number,
                        "POST",
                        "/stream/",
                        "Connection: close\r\nSapphire-Prompt-Parts: " + parts + "\r\n",
                        "body of request " + number));
    }

    @Test
    void promptsWithAPartThatCrashesEnginesAreRefusedAndOthersServed() throws Exception {
        for (int i = 0; i < 8; i++) {
            stream(i, "first:200,deadly:300,own" + i + ":800");
        }
        assertThat(crashes.get()).isLessThan(5);
        int reached = engines.stream().mapToInt(engine -> engine.received().size()).sum();
        String refusal = stream(20, "other:200,deadly:300,own:800");
        assertThat(stream(21, "first:200,deadly:300,own:800"))
                .startsWith("HTTP/1.1 503")
                .contains("Retry-After: ");
        assertThat(crashes.get()).isLessThan(5);
        assertThat(refusal).doesNotStartWith("HTTP/1.1 200");
        assertThat(reached).isLessThanOrEqualTo(5);
        assertThat(stream(22, "first:200,own:800")).startsWith("HTTP/1.1 200").contains("e2");
    }

    @Test
    void engineWhoseListenerOutlivesItsConnectionsCountsAsCrashed() throws Exception {
        listenerDelayMs = 100;
        stream(1, "deadly:300,own:800");
        stream(2, "deadly:300,own:900");
        assertThat(stream(3, "deadly:300,own:700")).startsWith("HTTP/1.1 503");
        assertThat(crashes.get()).isLessThan(5);
    }

    @Test
    void requestThatCrashedEnginesItselfIsNotAnsweredAsNotRun() throws Exception {
        assertThat(stream(1, "deadly:300,own:800")).startsWith("HTTP/1.1 502");
        assertThat(crashes.get()).isEqualTo(2);
        assertThat(stream(2, "deadly:300,own:900")).startsWith("HTTP/1.1 502");
        assertThat(stream(3, "deadly:300,own:700")).startsWith("HTTP/1.1 503");
        assertThat(crashes.get()).isEqualTo(3);
    }
}

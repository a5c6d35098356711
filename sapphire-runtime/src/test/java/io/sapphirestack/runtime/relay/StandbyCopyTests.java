package io.sapphirestack.runtime.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.sapphirestack.core.relay.RelayedService;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompts that are prefilled again after a stream has begun, because its standby
 * copy was lost with another endpoint and nothing replaced it.
 */
class StandbyCopyTests {

    private static final RelayedService ORDERING = new RelayedService("scribe", true, 4_000);
    private static final long WAIT_S = 5;

    @Test
    void lostStandbyCopyIsReplacedAndTheStreamContinuesFromIt() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        // The second order renews the copy, so the first one has been recorded by then.
        CountDownLatch ordered = new CountDownLatch(2);
        AtomicReference<String> order = new AtomicReference<>("");
        try (ScriptedEndpoint running =
                        new ScriptedEndpoint(
                                "e1",
                                "z1",
                                (request, socket, out) -> {
                                    if (request.line().startsWith("POST /v1/copies ")) {
                                        order.set(request.body());
                                        ScriptedEndpoint.write(
                                                out,
                                                ScriptedEndpoint.response(
                                                        request, 200, "", "{\"handle\":\"h7\"}"));
                                        ordered.countDown();
                                        return;
                                    }
                                    ScriptedEndpoint.write(
                                            out, ScriptedEndpoint.streamHeader(request, "s"));
                                    for (int i = 1; ordered.getCount() > 0; i++) {
                                        ScriptedEndpoint.write(out, ScriptedEndpoint.event(i));
                                        begun.countDown();
                                        ordered.await(100, TimeUnit.MILLISECONDS);
                                    }
                                    throw new IllegalStateException("the engine crashes");
                                });
                ScriptedEndpoint lost = ScriptedEndpoint.notReading("e2", "z2");
                ScriptedEndpoint replacement = continuing("e3", "z3");
                RelayTestBed bed =
                        new RelayTestBed(running, lost, replacement).withTrafficPlan(ORDERING)) {
            Thread closer =
                    new Thread(
                            () -> {
                                try {
                                    begun.await(WAIT_S, TimeUnit.SECONDS);
                                    lost.close();
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            });
            closer.start();
            String response = bed.call("POST", "/stream/1", "prompt");
            closer.join();
            assertTrue(response.contains("data: last"), response);
            String address = replacement.state().address();
            assertEquals(
                    "{\"request\":\"r1\",\"target\":\"" + address + "\",\"last\":false}",
                    order.get());
            assertEquals(
                    running.state().address() + "/h7",
                    replacement.received().get(0).headers().get("Sapphire-Resume-From"));
        }
    }

    private static ScriptedEndpoint continuing(String id, String zone) throws Exception {
        return new ScriptedEndpoint(
                id,
                zone,
                (request, socket, out) -> {
                    String last = request.headers().getOrDefault("Last-Event-ID", "0");
                    String event = "id: " + (Long.parseLong(last) + 1) + "\ndata: last\n\n";
                    ScriptedEndpoint.write(out, ScriptedEndpoint.streamHeader(request, "s"));
                    ScriptedEndpoint.write(
                            out,
                            Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n");
                });
    }
}

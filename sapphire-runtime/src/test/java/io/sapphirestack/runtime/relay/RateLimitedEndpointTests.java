package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sending an endpoint more requests than the limit that it names. */
@Timeout(30)
class RateLimitedEndpointTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";
    private static final String LIMIT = "Sapphire-Rate-Limit: 2.0\r\n";

    private static ScriptedEndpoint endpoint(String id, String zone, String fields)
            throws IOException {
        return ScriptedEndpoint.responding(
                id,
                zone,
                request ->
                        request.line().contains("/stream/")
                                ? streamHeader(request, "s")
                                                .replace("Content-Type", fields + "Content-Type")
                                        + event(1)
                                        + "0\r\n\r\n"
                                : response(request, 200, SEAL + fields, "ok"));
    }

    private static int countServed(RelayTestBed testBed, String path, int requests)
            throws IOException {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            String text =
                    testBed.call(
                            RelayTestBed.request(
                                    "r" + i, "POST", path, "Connection: close\r\n", "x"));
            if (text.startsWith("HTTP/1.1 200")) {
                served++;
            } else {
                assertThat(text).startsWith("HTTP/1.1 503").contains("Retry-After: ");
            }
        }
        return served;
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/order/", "/stream/"})
    void requestsAboveTheLimitAreRefusedAsNotRun(String path) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", LIMIT);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            int served = countServed(testBed, path, 40);
            assertThat(endpoint.received()).hasSize(served);
            // The slot of the first response, and one or two more on a slow machine.
            assertThat(served).isBetween(1, 12);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/order/", "/stream/"})
    void requestsAboveTheLimitGoToOtherEndpoints(String path) throws Exception {
        try (ScriptedEndpoint limited = endpoint("e1", "z1", LIMIT);
                ScriptedEndpoint other = endpoint("e2", "z2", "");
                RelayTestBed testBed = new RelayTestBed(limited, other).withTrafficPlan()) {
            assertThat(countServed(testBed, path, 40)).isEqualTo(40);
            assertThat(limited.received().size()).isBetween(1, 12);
        }
    }

    @Test
    void endpointThatNamesNoLimitAnyMoreGetsAllRequests() throws Exception {
        AtomicReference<String> fields = new AtomicReference<>("Sapphire-Rate-Limit: 1000\r\n");
        ScriptedEndpoint.Script script =
                (request, socket, out) -> write(out, response(request, 200, SEAL + fields, "ok"));
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint("e1", "z1", script);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            countServed(testBed, "/read/", 3);
            fields.set("");
            countServed(testBed, "/read/", 1);
            assertThat(countServed(testBed, "/read/", 40)).isEqualTo(40);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"-1", "x", "1e9", "99999999999"})
    void malformedLimitIsIgnored(String value) throws Exception {
        String fields = "Sapphire-Rate-Limit: " + value + "\r\n";
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", fields);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(countServed(testBed, "/read/", 20)).isEqualTo(20);
        }
    }

    @Test
    void streamThatHasBegunContinuesAtAnEndpointWhoseLimitIsUsedUp() throws Exception {
        ScriptedEndpoint.Script breakOff =
                (request, socket, out) -> {
                    write(out, streamHeader(request, "s") + event(1));
                    throw new IOException("the connection is closed");
                };
        try (ScriptedEndpoint limited =
                        ScriptedEndpoint.responding(
                                "e2",
                                "z2",
                                request ->
                                        streamHeader(request, "s")
                                                        .replace(
                                                                "Content-Type",
                                                                "Sapphire-Rate-Limit: 0\r\nContent-Type")
                                                + event(2)
                                                + "0\r\n\r\n");
                ScriptedEndpoint broken = new ScriptedEndpoint("e1", "z1", breakOff);
                RelayTestBed testBed = new RelayTestBed(broken, limited).withTrafficPlan()) {
            for (int i = 0; i < 2; i++) {
                String text =
                        testBed.call(
                                RelayTestBed.request(
                                        "s" + i, "POST", "/stream/", "Connection: close\r\n", "x"));
                assertThat(text).contains("id: 2\n").endsWith("0\r\n\r\n");
            }
        }
    }
}

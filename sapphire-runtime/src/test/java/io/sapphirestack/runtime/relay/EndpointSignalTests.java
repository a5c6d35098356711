package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.EndpointSignals;
import io.sapphirestack.core.relay.ObservedLoad;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to endpoints that are leaving or have named a back-off. */
@Timeout(30)
class EndpointSignalTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";
    private static final String LEAVING = "Sapphire-Leaving: 1\r\n";
    private static final String BACKOFF = "Sapphire-Not-Run: 1\r\nRetry-After: 20\r\n";
    private static final EndpointSignals LEAVES =
            new EndpointSignals(Optional.empty(), true, OptionalLong.empty(), Set.of());

    /** Creates an endpoint that sends the same status and fields in all responses. */
    private static ScriptedEndpoint endpoint(String id, String zone, int status, String fields)
            throws IOException {
        return ScriptedEndpoint.responding(
                id,
                zone,
                request ->
                        status == 200 && request.line().contains("/stream/")
                                ? streamHeader(request, "s")
                                                .replace("Content-Type", fields + "Content-Type")
                                        + event(1)
                                        + "0\r\n\r\n"
                                : response(request, status, SEAL + fields, "ok"));
    }

    private static String call(RelayTestBed testBed, String id, String path) throws IOException {
        return testBed.call(RelayTestBed.request(id, "POST", path, "Connection: close\r\n", "x"));
    }

    @ParameterizedTest
    @CsvSource({
        "/read/, 200",
        "/order/, 200",
        "/stream/, 200",
        "/order/, 400",
        "/order/, 500",
        "/stream/, 400"
    })
    void leavingEndpointGetsNoMoreRequests(String path, int status) throws Exception {
        try (ScriptedEndpoint leaving = endpoint("e1", "z1", status, LEAVING);
                ScriptedEndpoint other = endpoint("e2", "z2", 200, "");
                RelayTestBed testBed = new RelayTestBed(leaving, other).withTrafficPlan()) {
            assertThat(call(testBed, "r0", path)).startsWith("HTTP/1.1 " + status);
            for (int i = 1; i <= 10; i++) {
                assertThat(call(testBed, "r" + i, path)).startsWith("HTTP/1.1 200");
            }
            assertThat(leaving.received()).hasSize(1);
            assertThat(other.received()).hasSize(10);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/order/", "/stream/"})
    void requestIsRefusedWhileAllEndpointsAreInBackoff(String path) throws Exception {
        try (ScriptedEndpoint e1 = endpoint("e1", "z1", 503, BACKOFF);
                ScriptedEndpoint e2 = endpoint("e2", "z2", 503, BACKOFF.replace("20", "9.5"));
                RelayTestBed testBed = new RelayTestBed(e1, e2).withTrafficPlan()) {
            for (int i = 0; i < 10; i++) {
                String text = call(testBed, "r" + i, path);
                assertThat(text).startsWith("HTTP/1.1 503");
                assertThat(retryAfterS(text)).isBetween(5.0, 9.5 * 1.25);
            }
            assertThat(e1.received()).hasSize(1);
            assertThat(e2.received()).hasSize(1);
        }
    }

    private static double retryAfterS(String response) {
        Matcher matcher = Pattern.compile("Retry-After: ([0-9.]+)").matcher(response);
        assertThat(matcher.find()).as(response).isTrue();
        return Double.parseDouble(matcher.group(1));
    }

    @Test
    void requestIsRefusedIfTheOnlyEndpointIsLeaving() throws Exception {
        try (ScriptedEndpoint leaving = endpoint("e1", "z1", 200, LEAVING);
                RelayTestBed testBed = new RelayTestBed(leaving).withTrafficPlan()) {
            assertThat(call(testBed, "r1", "/order/")).startsWith("HTTP/1.1 200");
            assertThat(call(testBed, "r2", "/order/"))
                    .startsWith("HTTP/1.1 503")
                    .contains("Retry-After: ");
            assertThat(leaving.received()).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/order/", "/stream/"})
    void requestChoosesAgainIfItsEndpointBeginsToLeaveBeforeItIsSent(String path) throws Exception {
        try (ScriptedEndpoint chosen = endpoint("e1", "z1", 200, "");
                ScriptedEndpoint other = endpoint("e2", "z2", 200, "");
                RelayTestBed testBed = new RelayTestBed(chosen, other).withTrafficPlan()) {
            testBed.duringPlacement(() -> testBed.signals().record(chosen.state(), LEAVES));
            assertThat(call(testBed, "r1", path)).startsWith("HTTP/1.1 200");
            assertThat(chosen.received()).isEmpty();
            assertThat(other.received()).hasSize(1);
        }
    }

    @Test
    void streamFinishesAtAnEndpointThatBeginsToLeave() throws Exception {
        CountDownLatch streaming = new CountDownLatch(1);
        CountDownLatch leftMeanwhile = new CountDownLatch(1);
        ScriptedEndpoint.Script script =
                (request, socket, out) -> {
                    if (request.line().contains("/order/")) {
                        write(out, response(request, 200, SEAL + LEAVING, "ok"));
                        leftMeanwhile.countDown();
                        return;
                    }
                    write(out, streamHeader(request, "s") + event(1));
                    streaming.countDown();
                    leftMeanwhile.await();
                    write(out, event(2) + "0\r\n\r\n");
                };
        try (ScriptedEndpoint leaving = new ScriptedEndpoint("e1", "z1", script);
                RelayTestBed testBed = new RelayTestBed(leaving).withTrafficPlan()) {
            testBed.schedule(
                    0,
                    () -> {
                        streaming.await();
                        return call(testBed, "r2", "/order/");
                    });
            assertThat(call(testBed, "r1", "/stream/")).contains("id: 2\n");
            assertThat(leaving.received()).hasSize(2);
        }
    }

    @Test
    void noStandbyCopyGoesToAnEndpointThatIsLeavingOrInBackoff() throws Exception {
        try (ScriptedEndpoint running = endpoint("e1", "z1", 200, "");
                ScriptedEndpoint leaving = endpoint("e2", "z2", 200, "");
                ScriptedEndpoint other = endpoint("e3", "z2", 200, "");
                RelayTestBed testBed =
                        new RelayTestBed(running, leaving, other).withTrafficPlan()) {
            testBed.signals().record(leaving.state(), LEAVES);
            assertThat(call(testBed, "r1", "/stream/")).startsWith("HTTP/1.1 200");
            assertThat(running.received().get(0).headers())
                    .containsEntry("Sapphire-Standby", other.state().address());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Sapphire-Load: 1,2,x\r\n",
                "Sapphire-Leaving: 1\r\nSapphire-Leaving: 0\r\n",
                "Sapphire-Leaving: true\r\n",
                "Retry-After: -1\r\n"
            })
    void responseWithAMalformedSignalIsForwarded(String fields) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", 200, fields);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            for (int i = 0; i < 5; i++) {
                assertThat(call(testBed, "r" + i, "/order/"))
                        .startsWith("HTTP/1.1 200")
                        .contains(fields.substring(0, fields.indexOf('\r')));
            }
            assertThat(testBed.signals().load(endpoint.state())).isEmpty();
        }
    }

    @ParameterizedTest
    @CsvSource({"/order/, 200", "/order/, 500", "/stream/, 200"})
    void loadIsReadFromEachResponse(String path, int status) throws Exception {
        String fields = "Sapphire-Load: 3,2,6,250\r\n";
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", status, fields);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            call(testBed, "r1", path);
            ObservedLoad load = testBed.signals().load(endpoint.state()).orElseThrow();
            assertThat(load)
                    .isEqualTo(new ObservedLoad(3, 2, 6, OptionalInt.of(250), load.ageMs()));
        }
    }
}

package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.relay.RequestKind;
import io.sapphirestack.core.relay.TrafficRoute;
import java.io.IOException;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against refusals without a recent report, and against refused requests that are sent. */
@Timeout(30)
class PlainRequestAdmissionTests {

    private static final ObservedLoad IDLE = new ObservedLoad(0, 0, 1, OptionalInt.of(100), 0);
    private static final ObservedLoad FULL =
            new ObservedLoad(1, 100_000, 1, OptionalInt.of(100), 0);
    private static final ObservedLoad SHORT_QUEUE =
            new ObservedLoad(1, 2, 1, OptionalInt.of(100), 0);
    private static final ObservedLoad STALE =
            new ObservedLoad(1, 100_000, 1, OptionalInt.of(100), 1_001);
    private static final int REQUESTS = 40;

    /** Endpoint with a service time that is not 0 on the clock of the instance. */
    private static ScriptedEndpoint endpoint() throws IOException {
        CountDownLatch never = new CountDownLatch(1);
        return new ScriptedEndpoint(
                "e1",
                "z1",
                (request, socket, out) -> {
                    never.await(5, TimeUnit.MILLISECONDS);
                    ScriptedEndpoint.write(
                            out, response(request, 200, "Sapphire-Seal: s\r\n", "ok"));
                });
    }

    private static int served(RelayTestBed testBed) throws IOException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String text = testBed.call("POST", "/order/", "x");
            if (text.startsWith("HTTP/1.1 200")) {
                served++;
            } else {
                assertThat(text).startsWith("HTTP/1.1 503").contains("Retry-After: ");
            }
        }
        return served;
    }

    @Test
    void fullServiceRefusesRequestsWithoutSendingThem() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(served(testBed.withLoad(endpoint, IDLE))).isEqualTo(REQUESTS);
            int served = served(testBed.withLoad(endpoint, FULL));
            assertThat(served).isLessThan(REQUESTS / 2);
            assertThat(endpoint.received()).hasSize(REQUESTS + served);
        }
    }

    @Test
    void reportThatIsTooOldRefusesNothing() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(served(testBed.withLoad(endpoint, IDLE))).isEqualTo(REQUESTS);
            assertThat(served(testBed.withLoad(endpoint, STALE))).isEqualTo(REQUESTS);
        }
    }

    @Test
    void loadReportedBeforeAnyServiceTimeIsKnownRefusesNothing() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(served(testBed.withLoad(endpoint, FULL))).isEqualTo(REQUESTS);
        }
    }

    /** Without a target, no request is late before its deadline. */
    @Test
    void routeWithoutTargetLatencyIsNotRefusedAsLate() throws Exception {
        TrafficRoute timed = RelayTestBed.route("/order/", RequestKind.NON_IDEMPOTENT, 1, 2);
        TrafficRoute untimed =
                new TrafficRoute(
                        timed.name(),
                        timed.host(),
                        timed.pathPrefix(),
                        timed.kind(),
                        timed.timeoutMs(),
                        0,
                        timed.gapTargetMs(),
                        timed.priority(),
                        timed.maxAttempts(),
                        timed.isOpen(),
                        timed.targets());
        try (ScriptedEndpoint endpoint = endpoint();
                RelayTestBed testBed = new RelayTestBed(endpoint).withRoutes(untimed)) {
            assertThat(served(testBed.withLoad(endpoint, IDLE))).isEqualTo(REQUESTS);
            assertThat(served(testBed.withLoad(endpoint, SHORT_QUEUE))).isEqualTo(REQUESTS);
            assertThat(served(testBed.withLoad(endpoint, FULL))).isLessThan(REQUESTS / 2);
        }
    }
}

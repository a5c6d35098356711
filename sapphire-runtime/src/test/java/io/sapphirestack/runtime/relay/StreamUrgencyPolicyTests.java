package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.RequestKind;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against callers that set their own urgency, and against attempts without one. */
@Timeout(30)
class StreamUrgencyPolicyTests {

    private static final String URGENCY = "Sapphire-Urgency";
    private static final String FORGED = "Connection: close\r\n" + URGENCY + ": 0\r\n";

    private static ScriptedEndpoint endpoint(String id, String zone, int firstEvent)
            throws IOException {
        return ScriptedEndpoint.responding(
                id, zone, request -> streamHeader(request, "s") + event(firstEvent) + "0\r\n\r\n");
    }

    @Test
    void streamKeepsTheUrgencyOfItsPriorityAtTheNextEndpoint() throws Exception {
        ScriptedEndpoint.Script breakOff =
                (request, socket, out) -> {
                    write(out, streamHeader(request, "s") + event(1));
                    throw new IOException("the connection is closed");
                };
        try (ScriptedEndpoint broken = new ScriptedEndpoint("e1", "z1", breakOff);
                ScriptedEndpoint second = endpoint("e2", "z2", 2);
                RelayTestBed testBed =
                        new RelayTestBed(broken, second)
                                .withRoutes(
                                        RelayTestBed.route(
                                                "/urgent/", RequestKind.RESUMABLE_STREAM, 0, 4),
                                        RelayTestBed.route(
                                                "/stream/", RequestKind.RESUMABLE_STREAM, 1, 4))) {
            testBed.call(RelayTestBed.request("POST", "/stream/", FORGED, "x"));
            assertThat(broken.received().get(0).headers()).containsEntry(URGENCY, "5");
            assertThat(second.received().get(0).headers()).containsEntry(URGENCY, "5");
        }
    }

    @Test
    void urgencyOfTheCallerIsDroppedWhereTheSystemSetsNone() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", 1);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            testBed.call(RelayTestBed.request("POST", "/stream/", FORGED, "x"));
            assertThat(endpoint.received().get(0).headers()).doesNotContainKey(URGENCY);
        }
    }
}

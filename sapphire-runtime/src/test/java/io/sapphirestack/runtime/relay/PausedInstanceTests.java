package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.RelayTestBed.request;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a request that an instance reads after a pause and sends although its caller has
 * left: an order was sent 4.5 s after its deadline, when its caller could have sent it again.
 */
class PausedInstanceTests {

    @ParameterizedTest
    @CsvSource({
        "/order/, 4000, 1500, 503, 0",
        "/read/, 4000, 1500, 503, 0",
        "/stream/, 4000, 1500, 503, 0",
        "/order/, 1000, 2500, 200, 1",
        "/order/, 0, 1500, 200, 1"
    })
    void requestWhoseDeadlineMayHavePassedInAPauseIsNotSent(
            String path, long pauseMs, long deadlineMs, int status, int sent) throws Exception {
        try (ScriptedEndpoint endpoint =
                        ScriptedEndpoint.responding(
                                "e1", "z1", r -> response(r, 200, "Sapphire-Seal: s\r\n", "ok"));
                RelayTestBed bed = new RelayTestBed(endpoint).withTrafficPlan()) {
            bed.pauseProcess(pauseMs);
            String fields = "Connection: close\r\nSapphire-Deadline-Ms: " + deadlineMs + "\r\n";
            String received = bed.call(request("POST", path + "1", fields, "x"));
            assertThat(received).startsWith("HTTP/1.1 " + status);
            assertThat(endpoint.received()).hasSize(sent);
        }
    }
}

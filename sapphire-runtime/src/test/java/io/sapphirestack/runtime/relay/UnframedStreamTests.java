package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against streams that end with their connection, without a length or chunks, and are taken
 * for complete after they broke off, or for broken off although they are complete.
 */
@Timeout(30)
class UnframedStreamTests {

    private static final int RESET_LINGER_S = 0;

    private static String event(int number) {
        return "id: " + number + "\ndata: e" + number + "\n\n";
    }

    private static String head(ScriptedEndpoint.Received request) {
        return "HTTP/1.1 200 OK\r\nSapphire-Request-Id: "
                + request.headers().get("Sapphire-Request-Id")
                + "\r\nSapphire-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    }

    /** Creates an endpoint that sends events without framing and then closes or resets. */
    private static ScriptedEndpoint endpoint(String id, String zone, String events, boolean reset)
            throws Exception {
        return new ScriptedEndpoint(
                id,
                zone,
                (request, socket, out) -> {
                    write(out, head(request) + events);
                    end(socket, reset);
                });
    }

    private static void end(Socket socket, boolean reset) throws Exception {
        if (reset) {
            socket.setSoLinger(true, RESET_LINGER_S);
        }
        socket.close();
    }

    @Test
    void streamThatEndsWithItsConnectionIsComplete() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", event(1) + event(2), false);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/stream/", "x"))
                    .contains("id: 1\n")
                    .contains("id: 2\n")
                    .endsWith("0\r\n\r\n");
        }
    }

    @ParameterizedTest
    @CsvSource({"false", "true"})
    void streamThatEndsWithinAnEventContinuesAtAnotherEndpoint(boolean reset) throws Exception {
        try (ScriptedEndpoint first = endpoint("e1", "z1", event(1) + "id: 2\ndata: e", reset);
                ScriptedEndpoint second = endpoint("e2", "z2", event(2) + event(3), false);
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            String response = testBed.call("POST", "/stream/", "x");
            assertThat(response).containsOnlyOnce("id: 2\n").contains("id: 3\n");
            assertThat(response).endsWith("0\r\n\r\n");
            assertThat(second.received()).hasSize(1);
        }
    }

    @ParameterizedTest
    @CsvSource({"false", "true"})
    void streamThatEndsWithinAnEventEverywhereDoesNotLookComplete(boolean reset) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", event(1) + "id: 2\nda", reset);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/stream/", "x")).doesNotContain("0\r\n\r\n");
        }
    }

    @Test
    void plainResponseThatIsResetIsNotComplete() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("e1", "z1", "half a body", true);
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call("POST", "/order/", "x")).startsWith("HTTP/1.1 502");
        }
    }
}

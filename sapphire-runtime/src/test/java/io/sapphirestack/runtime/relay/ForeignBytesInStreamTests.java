package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.event;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.streamHeader;
import static io.sapphirestack.runtime.relay.ScriptedEndpoint.write;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against the text of an error that a caller finds within its stream, and against a stream
 * that ends as complete with it.
 */
@Timeout(30)
class ForeignBytesInStreamTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";
    private static final String TEXT = "foreign text\n\n";

    /** What an endpoint sends when it should continue a stream. */
    enum Foreign {
        ERROR_STATUS,
        REJECTED_STATUS,
        SUCCESS_WITH_TEXT,
        STREAM_WITH_TEXT,
        STREAM_WITH_HEAD,
        STREAM_WITH_EVENT_WITHOUT_ID;

        private String bytes(ScriptedEndpoint.Received request) {
            return switch (this) {
                case ERROR_STATUS -> response(request, 500, SEAL, TEXT);
                case REJECTED_STATUS -> response(request, 404, SEAL, TEXT);
                case SUCCESS_WITH_TEXT -> response(request, 200, SEAL, TEXT);
                case STREAM_WITH_TEXT -> unframed(request, TEXT);
                case STREAM_WITH_HEAD ->
                        unframed(request, response(request, 500, SEAL, "") + "\r\n" + TEXT);
                case STREAM_WITH_EVENT_WITHOUT_ID -> unframed(request, "data: foreign text\n\n");
            };
        }

        private static String unframed(ScriptedEndpoint.Received request, String body) {
            return streamHeader(request, "s").replace("Transfer-Encoding: chunked\r\n", "") + body;
        }
    }

    private static ScriptedEndpoint endpoint(
            String id,
            String zone,
            java.util.function.Function<ScriptedEndpoint.Received, String> bytes)
            throws IOException {
        return new ScriptedEndpoint(
                id,
                zone,
                (request, socket, out) -> {
                    write(out, bytes.apply(request));
                    throw new IOException("connection closed");
                });
    }

    private static ScriptedEndpoint breakingOff() throws IOException {
        return endpoint("e1", "z1", r -> streamHeader(r, "s") + event(1) + event(2));
    }

    @ParameterizedTest
    @EnumSource
    void streamContinuesWithoutTheForeignText(Foreign foreign) throws Exception {
        try (ScriptedEndpoint first = breakingOff();
                ScriptedEndpoint second = endpoint("e2", "z1", foreign::bytes);
                ScriptedEndpoint third =
                        endpoint("e3", "z1", r -> streamHeader(r, "s") + event(3) + "0\r\n\r\n");
                RelayTestBed testBed = new RelayTestBed(first, second, third).withTrafficPlan()) {
            String caller = testBed.call("POST", "/stream/", "x");
            assertThat(caller).contains("id: 2\n").doesNotContain("foreign", "HTTP/1.1 500");
            assertThat(caller.endsWith("0\r\n\r\n")).isEqualTo(caller.contains("id: 3\n"));
        }
    }

    @ParameterizedTest
    @EnumSource
    void streamThatNoEndpointContinuesDoesNotLookComplete(Foreign foreign) throws Exception {
        try (ScriptedEndpoint first = breakingOff();
                ScriptedEndpoint second = endpoint("e2", "z1", foreign::bytes);
                RelayTestBed testBed = new RelayTestBed(first, second).withTrafficPlan()) {
            String caller = testBed.call("POST", "/stream/", "x");
            assertThat(caller).doesNotContain("foreign", "HTTP/1.1 500", "\r\n0\r\n\r\n");
        }
    }
}

package io.sapphirestack.runtime.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.runtime.connection.ResponseShapes;
import io.sapphirestack.runtime.connection.ResponseShapes.Shape;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against orders whose thread is blocked by an engine that sends its response byte by byte,
 * and against handles that would add fields or lines to a later request.
 */
@Timeout(30)
class CopyOrderClientTests {

    private final CopyOrderClient client = new CopyOrderClient(CopyOrderNames.DEFAULT);

    @ParameterizedTest
    @CsvSource({"'\"h7\"',h7", "7,7", "'\"h7\\r\\nX: 1\"',", "'\"h 7\"',", "null,", "'\"\"',"})
    void onlyHandlesWithoutSpacesAndControlsAreUsed(String json, String handle) throws Exception {
        String body = "{\"handle\":" + json + "}";
        try (ScriptedEndpoint engine =
                ScriptedEndpoint.responding(
                        "e1", "z1", r -> ScriptedEndpoint.response(r, 200, "", body))) {
            assertThat(client.order("r1", engine.state(), engine.state()).handle())
                    .isEqualTo(Optional.ofNullable(handle));
        }
    }

    @Test
    void responseThatArrivesByteByByteEndsTheOrder() throws Exception {
        try (ScriptedEndpoint engine =
                new ScriptedEndpoint(
                        "e1",
                        "z1",
                        (request, socket, out) -> {
                            ScriptedEndpoint.write(
                                    out, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
                            while (true) {
                                ScriptedEndpoint.write(out, " ");
                                Thread.sleep(20);
                            }
                        })) {
            assertThatThrownBy(() -> client.order("r1", engine.state(), engine.state()))
                    .isInstanceOf(EndpointException.class);
        }
    }

    static Stream<Shape> invalidResponses() {
        return Stream.concat(ResponseShapes.invalidHeads(), ResponseShapes.invalidChunks());
    }

    /** A copy whose order has no valid response is not relied on. */
    @ParameterizedTest
    @MethodSource("invalidResponses")
    void malformedResponseIsNoCopy(Shape shape) throws Exception {
        ScriptedEndpoint.Script script =
                (request, socket, out) -> {
                    ScriptedEndpoint.write(out, shape.octets(""));
                    socket.close();
                };
        try (ScriptedEndpoint engine = new ScriptedEndpoint("e1", "z1", script)) {
            assertThatThrownBy(() -> client.order("r1", engine.state(), engine.state()))
                    .isInstanceOf(EndpointException.class);
        }
    }
}

package io.sapphirestack.runtime.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.RecordKey;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against fields that MessagePack encoding drops or changes, against failures on fields of a
 * newer version, and against frames above the size limit.
 */
class PeerCodecTests {

    record AllFieldTypes(
            boolean flag,
            int number,
            long big,
            double ratio,
            String text,
            byte[] bytes,
            Optional<String> present,
            Optional<String> absent,
            EndpointId id,
            List<ModelPin> pins,
            Map<EndpointId, Integer> counts,
            Map<RecordKey, Long> revisions,
            JsonNode tree,
            ControlCommand command) {}

    record NewerVersion(int kept, String added, List<Integer> addedToo) {}

    record OlderVersion(int kept) {}

    @Test
    void fieldsOfEveryTypeAreEqualAfterARoundTrip() throws Exception {
        byte[] bytes = {0, -1, 127, -128};
        OrderKey key = new OrderKey(AccountId.of("a1"), "ledger", "k 1");
        AllFieldTypes sent =
                new AllFieldTypes(
                        true,
                        -7,
                        Long.MIN_VALUE,
                        0.1,
                        "\u00e4\uD83D\uDE00\n",
                        bytes,
                        Optional.of("x"),
                        Optional.empty(),
                        EndpointId.of("e1"),
                        List.of(new ModelPin("m", "", "1")),
                        Map.of(EndpointId.of("e2"), 3),
                        Map.of(RecordKey.parse("service/s"), 9L),
                        new ObjectMapper()
                                .readTree(
                                        "{\"a\":[1,2.5,null,true,{\"b\":\"c\"}],\"n\":12345678901}"),
                        new ControlCommand.CompleteOrder(key, "n", 200, "text/plain", bytes));

        AllFieldTypes read = roundTrip(sent, AllFieldTypes.class);

        assertThat(read).usingRecursiveComparison().ignoringFields("tree").isEqualTo(sent);
        assertThat(read.tree()).isEqualTo(sent.tree());
    }

    @Test
    void byteArraysAreEncodedAsMessagePackBinary() throws Exception {
        byte[] bytes = new byte[300];
        ControlCommand.CompleteOrder order =
                new ControlCommand.CompleteOrder(
                        new OrderKey(AccountId.of("a"), "s", "k"), "n", 200, "t", bytes);

        byte[] frame = PeerCodec.SHARED.encode(0, 1, 1, order, "p");

        assertThat(new String(frame, java.nio.charset.StandardCharsets.ISO_8859_1))
                .contains("\u00c5\u0001\u002c" + "\0".repeat(300));
    }

    @Test
    void unknownFieldsOfANewerVersionAreIgnored() throws Exception {
        assertThat(roundTrip(new NewerVersion(5, "new", List.of(1, 2)), OlderVersion.class))
                .isEqualTo(new OlderVersion(5));
    }

    @Test
    void messageAboveTheFrameLimitIsNotEncoded() {
        byte[] body = new byte[PeerFrame.MAX_BYTES];
        assertThatThrownBy(() -> PeerCodec.SHARED.encode(0, 1, 1, Map.of("b", body), "10.0.0.1:1"))
                .isInstanceOfSatisfying(
                        TransportException.class,
                        e -> {
                            assertThat(e.maybeSent()).isFalse();
                            assertThat(e.step()).isEqualTo("encode");
                            assertThat(e.peer()).isEqualTo("10.0.0.1:1");
                        });
    }

    @Test
    void lengthAboveTheLimitIsRejectedBeforeTheBufferIsAllocated() {
        ByteBuffer source = ByteBuffer.allocate(4).putInt(PeerFrame.MAX_BYTES + 1).flip();
        assertThatThrownBy(() -> new FrameDecoder("p", PeerFrame.MAX_BYTES).next(source))
                .isInstanceOf(TransportException.class)
                .hasMessageContaining("allowed are 1 to");
    }

    private static <T> T roundTrip(Object sent, Class<T> type) throws TransportException {
        byte[] encoded = PeerCodec.SHARED.encode(PeerFrame.REPLY, 77, 12, sent, "p");
        byte[] payload = Arrays.copyOfRange(encoded, 4, encoded.length);
        assertThat(ByteBuffer.wrap(encoded).getInt()).isEqualTo(payload.length);
        PeerFrame frame = PeerCodec.decodeFrame(payload, "p");
        assertThat(frame.kind()).isEqualTo(PeerFrame.REPLY);
        assertThat(frame.requestId()).isEqualTo(77);
        assertThat(frame.typeCode()).isEqualTo(12);
        return PeerCodec.SHARED.decodeBody(frame.body(), type, "p");
    }
}

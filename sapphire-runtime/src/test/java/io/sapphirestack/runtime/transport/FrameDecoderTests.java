package io.sapphirestack.runtime.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against input from the network that stalls or confuses the decoder. */
class FrameDecoderTests {

    @Property(seed = "4711")
    void framesComeOutWholeHoweverTheStreamIsCut(
            @ForAll @Size(max = 8) List<@Size(min = 1, max = 40) byte[]> frames,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 20) Integer> cuts)
            throws Exception {
        ByteBuffer all = ByteBuffer.allocate(8 * 44);
        frames.forEach(frame -> all.putInt(frame.length).put(frame));
        byte[] stream = Arrays.copyOf(all.array(), all.position());
        FrameDecoder decoder = new FrameDecoder("p", 64);
        List<byte[]> read = new ArrayList<>();
        int at = 0;
        for (int i = 0; at < stream.length; i++) {
            int count = Math.min(cuts.get(i % cuts.size()), stream.length - at);
            drain(decoder, ByteBuffer.wrap(stream, at, count), read);
            at += count;
        }
        assertThat(read).usingRecursiveComparison().isEqualTo(frames);
    }

    @Property(seed = "4712")
    void garbageEndsInAClearErrorOrIsConsumed(@ForAll @Size(max = 300) byte[] garbage) {
        FrameDecoder decoder = new FrameDecoder("peer:1", 64);
        ByteBuffer source = ByteBuffer.wrap(garbage);
        List<byte[]> frames = new ArrayList<>();
        try {
            drain(decoder, source, frames);
            assertThat(source.hasRemaining()).isFalse();
        } catch (TransportException e) {
            assertThat(e.step()).isEqualTo("decode");
            assertThat(e.peer()).isEqualTo("peer:1");
        }
        frames.forEach(FrameDecoderTests::decodeOrFailClearly);
        decodeOrFailClearly(garbage);
    }

    private static void decodeOrFailClearly(byte[] payload) {
        try {
            PeerFrame frame = PeerCodec.decodeFrame(payload, "peer:1");
            PeerCodec.SHARED.decodeBody(frame.body(), PeerCodecTests.AllKinds.class, "peer:1");
        } catch (TransportException e) {
            assertThat(e.step()).isEqualTo("decode");
        }
    }

    private static void drain(FrameDecoder decoder, ByteBuffer source, List<byte[]> frames)
            throws TransportException {
        Optional<byte[]> frame = decoder.next(source);
        while (frame.isPresent()) {
            frames.add(frame.get());
            frame = decoder.next(source);
        }
    }
}

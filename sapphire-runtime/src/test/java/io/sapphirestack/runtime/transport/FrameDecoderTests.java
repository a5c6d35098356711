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

/**
 * Guards against frames that are decoded wrongly when TCP splits or joins them, and against
 * malformed input that causes any exception other than a {@link TransportException}.
 */
class FrameDecoderTests {

    @Property(seed = "4711")
    void framesAreDecodedForAnySplitOfTheStream(
            @ForAll @Size(max = 8) List<@Size(min = 1, max = 40) byte[]> frames,
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 1, max = 20) Integer> chunkSizes)
            throws Exception {
        ByteBuffer encoded = ByteBuffer.allocate(8 * 44);
        frames.forEach(frame -> encoded.putInt(frame.length).put(frame));
        byte[] stream = Arrays.copyOf(encoded.array(), encoded.position());
        FrameDecoder decoder = new FrameDecoder("p", 64);
        List<byte[]> read = new ArrayList<>();
        int offset = 0;
        for (int i = 0; offset < stream.length; i++) {
            int count = Math.min(chunkSizes.get(i % chunkSizes.size()), stream.length - offset);
            decodeAll(decoder, ByteBuffer.wrap(stream, offset, count), read);
            offset += count;
        }
        assertThat(read).usingRecursiveComparison().isEqualTo(frames);
    }

    @Property(seed = "4712")
    void randomBytesAreConsumedOrFailWithATransportException(
            @ForAll @Size(max = 300) byte[] randomBytes) {
        FrameDecoder decoder = new FrameDecoder("peer:1", 64);
        ByteBuffer source = ByteBuffer.wrap(randomBytes);
        List<byte[]> frames = new ArrayList<>();
        try {
            decodeAll(decoder, source, frames);
            assertThat(source.hasRemaining()).isFalse();
        } catch (TransportException e) {
            assertThat(e.step()).isEqualTo("decode");
            assertThat(e.peer()).isEqualTo("peer:1");
        }
        frames.forEach(FrameDecoderTests::decodeOrExpectTransportException);
        decodeOrExpectTransportException(randomBytes);
    }

    private static void decodeOrExpectTransportException(byte[] payload) {
        try {
            PeerFrame frame = PeerCodec.decodeFrame(payload, "peer:1");
            PeerCodec.SHARED.decodeBody(frame.body(), PeerCodecTests.AllFieldTypes.class, "peer:1");
        } catch (TransportException e) {
            assertThat(e.step()).isEqualTo("decode");
        }
    }

    private static void decodeAll(FrameDecoder decoder, ByteBuffer source, List<byte[]> frames)
            throws TransportException {
        Optional<byte[]> frame = decoder.next(source);
        while (frame.isPresent()) {
            frames.add(frame.get());
            frame = decoder.next(source);
        }
    }
}

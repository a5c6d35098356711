package io.sapphirestack.runtime.transport;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Splits a stream of bytes into frames. Not thread-safe. After a failure the stream cannot be
 * followed any more and the connection must be closed.
 */
final class FrameDecoder {

    private final String peer;
    private final ByteBuffer length = ByteBuffer.allocate(Integer.BYTES);
    private int maxBytes;
    private ByteBuffer payload;

    FrameDecoder(String peer, int maxBytes) {
        this.peer = peer;
        this.maxBytes = maxBytes;
    }

    /** Sets the limit for the frames that follow. */
    void setMaxFrameBytes(int newMaxBytes) {
        maxBytes = newMaxBytes;
    }

    /**
     * Consumes bytes until a frame is complete.
     *
     * @param source received bytes
     * @return content of the next frame, or empty if all bytes were consumed before its end
     * @throws TransportException if the length field is not acceptable
     */
    Optional<byte[]> next(ByteBuffer source) throws TransportException {
        if (payload == null) {
            transfer(source, length);
            if (length.hasRemaining()) {
                return Optional.empty();
            }
            int size = length.getInt(0);
            if (size <= 0 || size > maxBytes) {
                throw new TransportException(
                        "decode",
                        peer,
                        "a frame claims "
                                + Integer.toUnsignedString(size)
                                + " bytes, allowed are 1 to "
                                + maxBytes,
                        true,
                        null);
            }
            payload = ByteBuffer.allocate(size);
        }
        transfer(source, payload);
        if (payload.hasRemaining()) {
            return Optional.empty();
        }
        byte[] complete = payload.array();
        payload = null;
        length.clear();
        return Optional.of(complete);
    }

    private static void transfer(ByteBuffer source, ByteBuffer target) {
        int count = Math.min(source.remaining(), target.remaining());
        ByteBuffer slice = source.slice(source.position(), count);
        target.put(slice);
        source.position(source.position() + count);
    }
}

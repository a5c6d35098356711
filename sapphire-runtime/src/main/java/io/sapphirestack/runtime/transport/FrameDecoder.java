package io.sapphirestack.runtime.transport;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Splits a byte stream into frames with a 4-byte length field. Not thread-safe. After a failure the
 * frame boundaries are unknown, so the connection must be closed.
 */
final class FrameDecoder {

    private final String peer;
    private final ByteBuffer lengthField = ByteBuffer.allocate(Integer.BYTES);
    private int maxFrameBytes;
    private ByteBuffer payload;

    FrameDecoder(String peer, int maxFrameBytes) {
        this.peer = peer;
        this.maxFrameBytes = maxFrameBytes;
    }

    /** Sets the largest length of the following frames, without their length field. */
    void setMaxFrameBytes(int newMaxFrameBytes) {
        maxFrameBytes = newMaxFrameBytes;
    }

    /**
     * Consumes bytes until a frame is complete.
     *
     * @param source received bytes
     * @return content of the next frame, or empty if all bytes were consumed before its end
     * @throws TransportException if the length field is not positive or exceeds the limit
     */
    Optional<byte[]> next(ByteBuffer source) throws TransportException {
        if (payload == null) {
            copyAvailable(source, lengthField);
            if (lengthField.hasRemaining()) {
                return Optional.empty();
            }
            int size = lengthField.getInt(0);
            if (size <= 0 || size > maxFrameBytes) {
                throw new TransportException(
                        "decode",
                        peer,
                        "the length field of a frame is "
                                + Integer.toUnsignedString(size)
                                + " bytes, allowed are 1 to "
                                + maxFrameBytes,
                        true,
                        null);
            }
            payload = ByteBuffer.allocate(size);
        }
        copyAvailable(source, payload);
        if (payload.hasRemaining()) {
            return Optional.empty();
        }
        byte[] complete = payload.array();
        payload = null;
        lengthField.clear();
        return Optional.of(complete);
    }

    private static void copyAvailable(ByteBuffer source, ByteBuffer target) {
        int count = Math.min(source.remaining(), target.remaining());
        ByteBuffer slice = source.slice(source.position(), count);
        target.put(slice);
        source.position(source.position() + count);
    }
}

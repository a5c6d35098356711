package io.sapphirestack.runtime.transport;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes messages as frames and decodes frames. Thread-safe. */
final class PeerCodec {

    /** Shared by all connections, because the mapper caches its serializers of each type. */
    static final PeerCodec SHARED = new PeerCodec();

    private final ObjectMapper mapper =
            new ObjectMapper(new MessagePackFactory())
                    .registerModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private PeerCodec() {}

    /** Returns the encoded frame, including its length field. */
    byte[] encode(int kind, long requestId, int typeCode, Object body, String peer)
            throws TransportException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            byte[] content = mapper.writeValueAsBytes(body);
            packer.packArrayHeader(4).packInt(kind).packLong(requestId).packInt(typeCode);
            packer.flush();
            int length = Math.toIntExact(packer.getTotalWrittenBytes()) + content.length;
            if (length > PeerFrame.MAX_BYTES) {
                throw new TransportException(
                        "encode",
                        peer,
                        body.getClass().getSimpleName()
                                + " needs a frame of "
                                + length
                                + " bytes, allowed are "
                                + PeerFrame.MAX_BYTES,
                        false,
                        null);
            }
            return ByteBuffer.allocate(Integer.BYTES + length)
                    .putInt(length)
                    .put(packer.toByteArray())
                    .put(content)
                    .array();
        } catch (IOException | RuntimeException e) {
            throw new TransportException(
                    "encode", peer, "cannot encode " + body.getClass().getName(), false, e);
        }
    }

    /** Decodes the fields of a frame; its body stays encoded. */
    static PeerFrame decodeFrame(byte[] payload, String peer) throws TransportException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields < 4) {
                throw malformed(
                        peer, "the frame has " + fields + " fields, expected at least 4", null);
            }
            int kind = unpacker.unpackInt();
            long requestId = unpacker.unpackLong();
            int typeCode = unpacker.unpackInt();
            if (kind < PeerFrame.REQUEST || kind > PeerFrame.ERROR) {
                throw malformed(peer, "unknown frame kind " + kind, null);
            }
            int start = Math.toIntExact(unpacker.getTotalReadBytes());
            unpacker.skipValue();
            int end = Math.toIntExact(unpacker.getTotalReadBytes());
            return new PeerFrame(
                    kind, requestId, typeCode, Arrays.copyOfRange(payload, start, end));
        } catch (IOException | MessagePackException | ArithmeticException e) {
            throw malformed(
                    peer,
                    "the frame is not a MessagePack array of kind, request id, type code and body",
                    e);
        }
    }

    <T> T decodeBody(byte[] body, Class<T> type, String peer) throws TransportException {
        try {
            T value = mapper.readValue(body, type);
            if (value == null) {
                throw malformed(peer, "the body of " + type.getSimpleName() + " is nil", null);
            }
            return value;
        } catch (IOException | RuntimeException e) {
            throw malformed(peer, "cannot decode " + type.getSimpleName(), e);
        }
    }

    private static TransportException malformed(String peer, String message, Throwable cause) {
        return new TransportException("decode", peer, message, true, cause);
    }
}

package io.sapphirestack.core.control;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sapphirestack.core.record.ConfigRecord;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Text that is stored as the content of a record written by {@link ControlCommand.PutNewest}. It is
 * compressed once (gzip, RFC 1952), by the instance that submits it, and stays so in the log, in
 * snapshots, in views and on all links between instances.
 */
public final class RecordContent {

    /**
     * Size up to which a content travels with its record, in bytes. A larger one is detached: the
     * record names its size and hash, and instances fetch it apart.
     */
    public static final int MAX_ATTACHED_BYTES = 16 * 1024;

    /** Maximum size of a text, in bytes of its UTF-8 form. */
    public static final int MAX_TEXT_BYTES = 64 * 1024 * 1024;

    private static final String REFERENCE_FIELD = "contentReference";

    private RecordContent() {}

    /**
     * Names a content that travels apart from its record.
     *
     * @param sizeBytes size of the content as it is stored, in bytes
     * @param hash XXH3 hash of these bytes
     */
    public record Reference(int sizeBytes, long hash) {

        /** Checks the size, from which memory is reserved for the content. */
        public Reference {
            if (sizeBytes < 0 || sizeBytes > MAX_TEXT_BYTES) {
                throw new IllegalArgumentException("size of a content out of range: " + sizeBytes);
            }
        }

        /**
         * Returns the reference to a content.
         *
         * @param content bytes as they are stored
         */
        public static Reference to(byte[] content) {
            return new Reference(content.length, Hashing.xxh3_64().hashBytesToLong(content));
        }

        /**
         * Returns whether this reference names a content.
         *
         * @param content bytes as they were received
         */
        public boolean names(byte[] content) {
            return content.length == sizeBytes && equals(to(content));
        }
    }

    /**
     * Replaces a content above {@link #MAX_ATTACHED_BYTES} by a reference to it.
     *
     * @param record any record
     * @return the record with the reference, or the same record if its content is small
     */
    public static ConfigRecord detach(ConfigRecord record) {
        Optional<byte[]> content = bytesOf(record).filter(c -> c.length > MAX_ATTACHED_BYTES);
        if (content.isEmpty()) {
            return record;
        }
        Reference reference = Reference.to(content.get());
        ConfigRecord detached = withoutContent(record);
        ((ObjectNode) detached.body())
                .putObject(REFERENCE_FIELD)
                .put("sizeBytes", reference.sizeBytes())
                .put("hash", reference.hash());
        return detached;
    }

    /**
     * Returns the reference of a record whose content is detached.
     *
     * @param record any record
     * @return reference, empty if the record is whole
     */
    public static Optional<Reference> referenceOf(ConfigRecord record) {
        JsonNode reference = record.body().path(REFERENCE_FIELD);
        return reference.isObject() && !record.body().has(ControlState.CONTENT_FIELD)
                ? Optional.of(
                        new Reference(
                                reference.path("sizeBytes").asInt(),
                                reference.path("hash").asLong()))
                : Optional.empty();
    }

    /**
     * Puts a content back into a record that was detached.
     *
     * @param record detached record
     * @param content bytes that its reference names
     * @return the record as it was
     */
    public static ConfigRecord attach(ConfigRecord record, byte[] content) {
        ObjectNode body = (ObjectNode) withoutContent(record).body();
        body.set(ControlState.CONTENT_FIELD, BinaryNode.valueOf(content));
        return record.withBody(body);
    }

    /**
     * Returns the compressed content of a record.
     *
     * @param record any record
     * @return bytes, which must not be modified; empty if the record has no compressed content
     */
    public static Optional<byte[]> bytesOf(ConfigRecord record) {
        return record.body().path(ControlState.CONTENT_FIELD) instanceof BinaryNode binary
                ? Optional.of(binary.binaryValue())
                : Optional.empty();
    }

    /**
     * Encodes a text.
     *
     * @param text text of at most {@link #MAX_TEXT_BYTES}
     * @return content of a record
     * @throws IllegalArgumentException if the text is longer
     */
    public static JsonNode encode(String text) {
        byte[] octets = text.getBytes(StandardCharsets.UTF_8);
        if (octets.length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException(
                    "a text has at most " + MAX_TEXT_BYTES + " bytes but this " + octets.length);
        }
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
            out.write(octets);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to memory", e);
        }
        return BinaryNode.valueOf(compressed.toByteArray());
    }

    /**
     * Decodes a text. Earlier releases stored it as it is, in a string; such content stays
     * readable.
     *
     * @param content content of a record
     * @return the text
     * @throws IOException if the content is neither a string nor a compressed text, is damaged or
     *     exceeds {@link #MAX_TEXT_BYTES}
     */
    public static String decode(JsonNode content) throws IOException {
        if (content.isTextual()) {
            return content.textValue();
        }
        if (!content.isBinary()) {
            throw new IOException("the content of the record is " + content.getNodeType());
        }
        try (GZIPInputStream in =
                new GZIPInputStream(new ByteArrayInputStream(content.binaryValue()))) {
            byte[] octets = in.readNBytes(MAX_TEXT_BYTES + 1);
            if (octets.length > MAX_TEXT_BYTES) {
                throw new IOException("the text has more than " + MAX_TEXT_BYTES + " bytes");
            }
            return new String(octets, StandardCharsets.UTF_8);
        }
    }

    /**
     * Returns the number of a record.
     *
     * @param record record, empty if there is none
     * @return version number that its writer assigned; empty without a record
     */
    public static OptionalLong numberOf(Optional<ConfigRecord> record) {
        return record.map(
                        found ->
                                OptionalLong.of(
                                        found.body().path(ControlState.NUMBER_FIELD).asLong()))
                .orElse(OptionalLong.empty());
    }

    /**
     * Returns a record without its content, with its number only.
     *
     * @param record record written by {@link ControlCommand.PutNewest}
     * @return copy of the record
     */
    public static ConfigRecord withoutContent(ConfigRecord record) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set(ControlState.NUMBER_FIELD, record.body().path(ControlState.NUMBER_FIELD));
        return record.withBody(body);
    }

    /**
     * Returns the size of a content as it is stored and sent.
     *
     * @param content content of a record
     * @return size in bytes; 0 if it is neither a string nor compressed
     */
    public static int sizeBytes(JsonNode content) {
        if (content instanceof BinaryNode binary) {
            return binary.binaryValue().length;
        }
        return content.isTextual() ? content.textValue().length() : 0;
    }
}

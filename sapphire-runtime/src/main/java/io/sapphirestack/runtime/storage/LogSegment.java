package io.sapphirestack.runtime.storage;

import io.sapphirestack.core.replication.ReplicationEntry;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One file of the log: a sequence of frames, each with 4-byte length, 4-byte CRC-32C and payload. A
 * payload is an entry or a sync marker.
 *
 * <p>A marker is written after each sync and before any entry is acknowledged; the marker itself is
 * not synced. A damaged frame that is followed by a marker was synced and may have been
 * acknowledged, so it must not be truncated. Not thread-safe.
 */
final class LogSegment implements AutoCloseable {

    private static final int FRAME_HEADER_BYTES = 8;
    private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;
    private static final byte ENTRY = 1;
    private static final byte MARKER = 2;
    private static final long MARKER_MAGIC = 0x5a91_7e03_c46d_b82fL;
    private static final int MARKER_BYTES = 17;

    private final Path file;
    private final long firstIndex;
    private final FileChannel channel;
    private final List<Long> entryOffsets = new ArrayList<>();
    private long endOffset;

    /** End of the last valid marker that was read; the frames before it were synced. */
    private long markedOffset;

    private LogSegment(Path file, long firstIndex, FileChannel channel) {
        this.file = file;
        this.firstIndex = firstIndex;
        this.channel = channel;
    }

    static LogSegment create(Path file, long firstIndex) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        DurableFiles.syncFolder(file.getParent());
        return new LogSegment(file, firstIndex, channel);
    }

    /**
     * Opens a segment and appends its entries to a list.
     *
     * @param nextFirstIndex first entry of the next segment, empty for the last one. An incomplete
     *     write is truncated in the last segment, and in another one if it follows the last entry
     *     before the next segment
     * @throws IOException if the file cannot be read, or is damaged in any other place
     */
    static LogSegment open(
            Path file, long firstIndex, OptionalLong nextFirstIndex, List<ReplicationEntry> entries)
            throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            LogSegment segment = new LogSegment(file, firstIndex, channel);
            segment.readAll(nextFirstIndex, entries);
            return segment;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    Path file() {
        return file;
    }

    long firstIndex() {
        return firstIndex;
    }

    long lastIndex() {
        return firstIndex + entryOffsets.size() - 1;
    }

    long sizeBytes() {
        return endOffset;
    }

    void append(List<ReplicationEntry> entries) throws IOException {
        for (ReplicationEntry entry : entries) {
            byte[] encoded = StorageCodec.encode(entry);
            byte[] payload = new byte[encoded.length + 1];
            payload[0] = ENTRY;
            System.arraycopy(encoded, 0, payload, 1, encoded.length);
            entryOffsets.add(endOffset);
            write(payload);
        }
    }

    void sync() throws IOException {
        channel.force(false);
    }

    void writeMarker() throws IOException {
        ByteBuffer payload = ByteBuffer.allocate(MARKER_BYTES);
        payload.put(MARKER).putLong(MARKER_MAGIC).putLong(endOffset);
        write(payload.array());
    }

    /** Writes the frames after the last marker that was read once more, at the same place. */
    void rewriteUnmarkedTail() throws IOException {
        ByteBuffer tail = ByteBuffer.allocate((int) (endOffset - markedOffset));
        DurableFiles.readFully(channel, tail, markedOffset);
        tail.flip();
        channel.position(markedOffset);
        DurableFiles.writeFully(channel, tail);
    }

    void truncateFrom(long index) throws IOException {
        int entryPosition = (int) (index - firstIndex);
        endOffset = entryOffsets.get(entryPosition);
        entryOffsets.subList(entryPosition, entryOffsets.size()).clear();
        channel.truncate(endOffset);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private void write(byte[] payload) throws IOException {
        ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.length);
        frame.putInt(payload.length).putInt(DurableFiles.crc(payload, payload.length));
        frame.put(payload).flip();
        channel.position(endOffset);
        DurableFiles.writeFully(channel, frame);
        endOffset += frame.limit();
    }

    private void readAll(OptionalLong nextFirstIndex, List<ReplicationEntry> entries)
            throws IOException {
        ByteBuffer content = ByteBuffer.allocate(Math.toIntExact(channel.size()));
        DurableFiles.readFully(channel, content, 0);
        content.flip();
        while (endOffset < content.limit()) {
            Optional<byte[]> payload = readFrame(content, (int) endOffset);
            if (payload.isEmpty()) {
                truncateTail(content, nextFirstIndex);
                return;
            }
            byte[] bytes = payload.get();
            if (bytes[0] == ENTRY) {
                byte[] encoded = new byte[bytes.length - 1];
                System.arraycopy(bytes, 1, encoded, 0, encoded.length);
                ReplicationEntry entry = StorageCodec.decodeEntry(encoded);
                if (entry.index() != firstIndex + entryOffsets.size()) {
                    throw new DamagedFileException(
                            "expected entry "
                                    + (firstIndex + entryOffsets.size())
                                    + " at offset "
                                    + endOffset
                                    + " but found entry "
                                    + entry.index());
                }
                entryOffsets.add(endOffset);
                entries.add(entry);
            }
            endOffset += FRAME_HEADER_BYTES + bytes.length;
            if (bytes[0] == MARKER) {
                markedOffset = endOffset;
            }
        }
    }

    /**
     * Truncates an incomplete write at the end of the log, or the marker at the end of an earlier
     * segment: it is not synced before the next segment begins, so a loss of power can tear it.
     * Fails if synced entries are damaged.
     */
    private void truncateTail(ByteBuffer content, OptionalLong nextFirstIndex) throws IOException {
        if (nextFirstIndex.isPresent() && nextFirstIndex.getAsLong() != lastIndex() + 1) {
            throw new DamagedFileException(
                    "damaged at offset "
                            + endOffset
                            + ", which is before the last segment of the log");
        }
        if (isFollowedByMarker(content, endOffset)) {
            throw new DamagedFileException(
                    "damaged at offset "
                            + endOffset
                            + ", in synced entries that may have been acknowledged");
        }
        channel.truncate(endOffset);
    }

    /** Returns the payload of the frame at an offset, or empty if the frame is not valid. */
    private static Optional<byte[]> readFrame(ByteBuffer content, int offset) {
        if (content.limit() - offset < FRAME_HEADER_BYTES + 1) {
            return Optional.empty();
        }
        int length = content.getInt(offset);
        if (length < 1
                || length > MAX_FRAME_BYTES
                || length > content.limit() - offset - FRAME_HEADER_BYTES) {
            return Optional.empty();
        }
        byte[] payload = new byte[length];
        content.get(offset + FRAME_HEADER_BYTES, payload);
        boolean valid =
                DurableFiles.crc(payload, length) == content.getInt(offset + 4)
                        && (payload[0] == ENTRY || payload[0] == MARKER);
        return valid ? Optional.of(payload) : Optional.empty();
    }

    /** Returns whether a valid marker after an offset proves that the frame at it was synced. */
    private static boolean isFollowedByMarker(ByteBuffer content, long offset) {
        for (int position = (int) offset; position + MARKER_BYTES <= content.limit(); position++) {
            if (content.get(position) == MARKER
                    && content.getLong(position + 1) == MARKER_MAGIC
                    && content.getLong(position + 9) > offset
                    && position >= FRAME_HEADER_BYTES
                    && readFrame(content, position - FRAME_HEADER_BYTES).isPresent()) {
                return true;
            }
        }
        return false;
    }
}

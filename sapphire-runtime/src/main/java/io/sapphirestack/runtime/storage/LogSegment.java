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

/**
 * One file of the log: frames of 4-byte length, 4-byte CRC-32C and payload. A payload is an entry
 * or a marker.
 *
 * <p>A marker is written, without a sync of its own, after each sync and before anything is
 * acknowledged. A damaged frame that is followed by a marker was acknowledged and must not be
 * truncated. Not thread-safe.
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
    private final List<Long> offsets = new ArrayList<>();
    private long endOffset;

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
     * Opens a file and reads its entries.
     *
     * @param last whether the file is the end of the log, where an incomplete write may be removed
     */
    static LogSegment open(Path file, long firstIndex, boolean last, List<ReplicationEntry> entries)
            throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            LogSegment segment = new LogSegment(file, firstIndex, channel);
            segment.readAll(last, entries);
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
        return firstIndex + offsets.size() - 1;
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
            offsets.add(endOffset);
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

    void truncateFrom(long index) throws IOException {
        int position = (int) (index - firstIndex);
        endOffset = offsets.get(position);
        offsets.subList(position, offsets.size()).clear();
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

    private void readAll(boolean last, List<ReplicationEntry> entries) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(Math.toIntExact(channel.size()));
        while (content.hasRemaining() && channel.read(content) >= 0) {
            // Continues until the whole file is read.
            continue;
        }
        content.flip();
        while (endOffset < content.limit()) {
            Optional<byte[]> payload = readFrame(content, (int) endOffset);
            if (payload.isEmpty()) {
                truncateTail(content, last);
                return;
            }
            byte[] bytes = payload.get();
            if (bytes[0] == ENTRY) {
                byte[] encoded = new byte[bytes.length - 1];
                System.arraycopy(bytes, 1, encoded, 0, encoded.length);
                ReplicationEntry entry = StorageCodec.decodeEntry(encoded);
                if (entry.index() != firstIndex + offsets.size()) {
                    throw new IOException(
                            "expected entry "
                                    + (firstIndex + offsets.size())
                                    + " at offset "
                                    + endOffset
                                    + " but found entry "
                                    + entry.index());
                }
                offsets.add(endOffset);
                entries.add(entry);
            }
            endOffset += FRAME_HEADER_BYTES + bytes.length;
        }
    }

    private void truncateTail(ByteBuffer content, boolean last) throws IOException {
        if (!last) {
            throw new IOException("damaged at offset " + endOffset + ", before the end of the log");
        }
        if (isFollowedByMarker(content, endOffset)) {
            throw new IOException(
                    "damaged at offset "
                            + endOffset
                            + ", in entries that may have been acknowledged");
        }
        channel.truncate(endOffset);
    }

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

    /** Tells whether a marker proves that the frame at an offset was synced. */
    private static boolean isFollowedByMarker(ByteBuffer content, long offset) {
        for (int at = (int) offset; at + MARKER_BYTES <= content.limit(); at++) {
            if (content.get(at) == MARKER
                    && content.getLong(at + 1) == MARKER_MAGIC
                    && content.getLong(at + 9) > offset
                    && at >= FRAME_HEADER_BYTES
                    && readFrame(content, at - FRAME_HEADER_BYTES).isPresent()) {
                return true;
            }
        }
        return false;
    }
}

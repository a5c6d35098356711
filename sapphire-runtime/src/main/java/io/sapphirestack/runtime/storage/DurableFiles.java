package io.sapphirestack.runtime.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * Replaces, reads and deletes whole files. After a crash a replaced file has either its old or its
 * new content. A file has a header of 4-byte length and 4-byte CRC-32C of the content.
 */
final class DurableFiles {

    private static final int HEADER_BYTES = 8;

    /**
     * Maximum number of bytes of one read or write. The JDK keeps a direct buffer of the size of
     * the longest one for each thread, and the direct memory of a process may be small.
     */
    private static final int MAX_TRANSFER_BYTES = 64 * 1024;

    /** Called with the description of each completed step, so that tests can fail at that step. */
    private final Consumer<String> stepDone;

    DurableFiles(Consumer<String> stepDone) {
        this.stepDone = stepDone;
    }

    /** Writes a temporary file, syncs it, renames it over the file and syncs the folder. */
    void replace(Path file, byte[] payload) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".tmp");
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(payload.length).putInt(crc(payload, payload.length)).flip();
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            reportStep(file, "created");
            writeFully(channel, header);
            reportStep(file, "header written");
            ByteBuffer firstHalf = ByteBuffer.wrap(payload, 0, payload.length / 2);
            writeFully(channel, firstHalf);
            reportStep(file, "half written");
            writeFully(
                    channel,
                    ByteBuffer.wrap(
                            payload, firstHalf.limit(), payload.length - firstHalf.limit()));
            reportStep(file, "written");
            channel.force(true);
            reportStep(file, "synced");
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        reportStep(file, "renamed");
        syncFolder(file.getParent());
        reportStep(file, "folder synced");
    }

    /** Returns the content of a file after checking its length and checksum. */
    byte[] read(Path file) throws IOException {
        ByteBuffer content = readAll(file);
        if (content.remaining() < HEADER_BYTES) {
            throw new DamagedFileException("the file is shorter than its header of 8 bytes");
        }
        int length = content.getInt();
        int expectedCrc = content.getInt();
        if (length != content.remaining()) {
            throw new DamagedFileException(
                    "the header declares "
                            + length
                            + " bytes of content but the file has "
                            + content.remaining());
        }
        byte[] payload = new byte[length];
        content.get(payload);
        if (crc(payload, length) != expectedCrc) {
            throw new DamagedFileException("the checksum of the content does not match");
        }
        return payload;
    }

    private static ByteBuffer readAll(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer content = ByteBuffer.allocate(Math.toIntExact(channel.size()));
            readFully(channel, content, 0);
            return content.flip();
        }
    }

    void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
        syncFolder(file.getParent());
        reportStep(file, "deleted");
    }

    static void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static int crc(byte[] bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, length);
        return (int) crc.getValue();
    }

    static void writeFully(FileChannel channel, ByteBuffer buffer) throws IOException {
        int end = buffer.limit();
        while (buffer.position() < end) {
            buffer.limit(Math.min(end, buffer.position() + MAX_TRANSFER_BYTES));
            channel.write(buffer);
        }
        buffer.limit(end);
    }

    /** Fills a buffer from a position of a file on, or up to the end of the file. */
    static void readFully(FileChannel channel, ByteBuffer buffer, long filePosition)
            throws IOException {
        int start = buffer.position();
        int end = buffer.limit();
        int count = 0;
        while (count >= 0 && buffer.position() < end) {
            buffer.limit(Math.min(end, buffer.position() + MAX_TRANSFER_BYTES));
            count = channel.read(buffer, filePosition + buffer.position() - start);
        }
        buffer.limit(end);
    }

    private void reportStep(Path file, String step) {
        stepDone.accept(file.getFileName() + " " + step);
    }
}

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

/** Writes and reads whole files that must survive a crash either in the old or the new version. */
final class DurableFiles {

    private static final int HEADER_BYTES = 8;

    /** Called with the name of each step after it was done, so that tests can stop there. */
    private final Consumer<String> stepDone;

    DurableFiles(Consumer<String> stepDone) {
        this.stepDone = stepDone;
    }

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
            ByteBuffer half = ByteBuffer.wrap(payload, 0, payload.length / 2);
            writeFully(channel, half);
            reportStep(file, "half written");
            writeFully(
                    channel, ByteBuffer.wrap(payload, half.limit(), payload.length - half.limit()));
            reportStep(file, "written");
            channel.force(true);
            reportStep(file, "synced");
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        reportStep(file, "renamed");
        syncFolder(file.getParent());
        reportStep(file, "folder synced");
    }

    byte[] read(Path file) throws IOException {
        ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
        if (content.remaining() < HEADER_BYTES) {
            throw new IOException("file is shorter than its header");
        }
        int length = content.getInt();
        int expectedCrc = content.getInt();
        if (length != content.remaining()) {
            throw new IOException(
                    "expected " + length + " bytes of content but found " + content.remaining());
        }
        byte[] payload = new byte[length];
        content.get(payload);
        if (crc(payload, length) != expectedCrc) {
            throw new IOException("checksum does not match");
        }
        return payload;
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
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    private void reportStep(Path file, String step) {
        stepDone.accept(file.getFileName() + " " + step);
    }
}

package io.sapphirestack.runtime.storage;

import io.sapphirestack.core.replication.ClusterMembership;
import io.sapphirestack.core.replication.HardState;
import io.sapphirestack.core.replication.ReplicationEntry;
import io.sapphirestack.core.replication.SnapshotMeta;
import io.sapphirestack.core.replication.StoredSnapshot;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Binary encoding of entries, hard states and snapshots on disk. Each encoded value starts with a
 * version byte. Thread-safe.
 */
final class StorageCodec {

    private static final int VERSION = 1;

    private StorageCodec() {}

    static byte[] encode(ReplicationEntry entry) throws IOException {
        return encodeVersioned(
                out -> {
                    out.writeLong(entry.index());
                    out.writeLong(entry.term());
                    out.writeLong(entry.timeMs());
                    out.writeBoolean(entry.membership().isPresent());
                    if (entry.membership().isPresent()) {
                        writeMembership(out, entry.membership().get());
                    }
                    writeBytes(out, entry.command());
                });
    }

    static ReplicationEntry decodeEntry(byte[] data) throws IOException {
        DataInputStream in = openVersioned(data);
        long index = in.readLong();
        long term = in.readLong();
        long timeMs = in.readLong();
        Optional<ClusterMembership> membership =
                in.readBoolean() ? Optional.of(readMembership(in)) : Optional.empty();
        return new ReplicationEntry(index, term, timeMs, readBytes(in), membership);
    }

    static byte[] encode(HardState state) throws IOException {
        return encodeVersioned(
                out -> {
                    out.writeUTF(state.voterId());
                    out.writeUTF(state.clusterId());
                    out.writeLong(state.term());
                    out.writeUTF(state.votedFor());
                });
    }

    static HardState decodeHardState(byte[] data) throws IOException {
        DataInputStream in = openVersioned(data);
        return new HardState(in.readUTF(), in.readUTF(), in.readLong(), in.readUTF());
    }

    static byte[] encode(StoredSnapshot snapshot) throws IOException {
        return encodeVersioned(
                out -> {
                    SnapshotMeta meta = snapshot.meta();
                    out.writeLong(meta.index());
                    out.writeLong(meta.term());
                    out.writeLong(meta.timeMs());
                    writeMembership(out, meta.membership());
                    writeBytes(out, snapshot.data());
                });
    }

    static StoredSnapshot decodeSnapshot(byte[] data) throws IOException {
        DataInputStream in = openVersioned(data);
        SnapshotMeta meta =
                new SnapshotMeta(in.readLong(), in.readLong(), in.readLong(), readMembership(in));
        return new StoredSnapshot(meta, readBytes(in));
    }

    private static byte[] encodeVersioned(FieldWriter fields) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(VERSION);
        fields.writeTo(out);
        return bytes.toByteArray();
    }

    private static DataInputStream openVersioned(byte[] data) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(data));
        int version = in.readUnsignedByte();
        if (version != VERSION) {
            throw new DamagedFileException("unknown format version " + version);
        }
        return in;
    }

    private static void writeMembership(DataOutputStream out, ClusterMembership membership)
            throws IOException {
        out.writeInt(membership.voters().size());
        for (Map.Entry<String, String> voter : new TreeMap<>(membership.voters()).entrySet()) {
            out.writeUTF(voter.getKey());
            out.writeUTF(voter.getValue());
        }
    }

    private static ClusterMembership readMembership(DataInputStream in) throws IOException {
        Map<String, String> voters = new TreeMap<>();
        int count = in.readInt();
        for (int i = 0; i < count; i++) {
            voters.put(in.readUTF(), in.readUTF());
        }
        return new ClusterMembership(voters);
    }

    private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static byte[] readBytes(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new DamagedFileException(
                    "length "
                            + length
                            + " of a byte array is negative or exceeds the remaining data");
        }
        return in.readNBytes(length);
    }

    /** Writes the fields of one value after the version byte. */
    @FunctionalInterface
    private interface FieldWriter {
        void writeTo(DataOutputStream out) throws IOException;
    }
}

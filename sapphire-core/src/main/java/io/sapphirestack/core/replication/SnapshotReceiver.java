package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.SnapshotChunk;
import java.util.Optional;

/** Assembles a snapshot from its chunks. Not thread-safe. */
final class SnapshotReceiver {

    private SnapshotMeta meta = SnapshotMeta.NONE;
    private long term;
    private byte[] data = new byte[0];
    private int receivedBytes;

    /** Adds a chunk; returns the snapshot if this chunk completes it. */
    Optional<StoredSnapshot> addChunk(SnapshotChunk chunk) {
        // Chunks of different terms are not combined, because two leaders may encode the same state
        // differently.
        if (chunk.term() != term
                || !chunk.meta().equals(meta)
                || chunk.totalBytes() != data.length) {
            meta = chunk.meta();
            term = chunk.term();
            data = new byte[Math.toIntExact(chunk.totalBytes())];
            receivedBytes = 0;
        }
        if (chunk.offset() == receivedBytes && receivedBytes + chunk.data().length <= data.length) {
            System.arraycopy(chunk.data(), 0, data, receivedBytes, chunk.data().length);
            receivedBytes += chunk.data().length;
        }
        if (receivedBytes < data.length) {
            return Optional.empty();
        }
        StoredSnapshot complete = new StoredSnapshot(meta, data);
        meta = SnapshotMeta.NONE;
        data = new byte[0];
        receivedBytes = 0;
        return Optional.of(complete);
    }

    long receivedBytes() {
        return receivedBytes;
    }
}

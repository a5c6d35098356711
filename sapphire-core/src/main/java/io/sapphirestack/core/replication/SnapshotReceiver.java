package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.SnapshotChunk;
import java.util.Optional;

/** Assembles a snapshot from its parts. Not thread-safe. */
final class SnapshotReceiver {

    private SnapshotMeta meta = SnapshotMeta.NONE;
    private long term;
    private byte[] data = new byte[0];
    private int received;

    /** Adds a part; returns the snapshot once it is complete. */
    Optional<StoredSnapshot> add(SnapshotChunk chunk) {
        // Two leaders may encode the same state differently, so parts of two terms are not mixed.
        if (chunk.term() != term
                || !chunk.meta().equals(meta)
                || chunk.totalBytes() != data.length) {
            meta = chunk.meta();
            term = chunk.term();
            data = new byte[Math.toIntExact(chunk.totalBytes())];
            received = 0;
        }
        if (chunk.offset() == received && received + chunk.data().length <= data.length) {
            System.arraycopy(chunk.data(), 0, data, received, chunk.data().length);
            received += chunk.data().length;
        }
        if (received < data.length) {
            return Optional.empty();
        }
        StoredSnapshot complete = new StoredSnapshot(meta, data);
        meta = SnapshotMeta.NONE;
        data = new byte[0];
        received = 0;
        return Optional.of(complete);
    }

    long receivedBytes() {
        return received;
    }
}

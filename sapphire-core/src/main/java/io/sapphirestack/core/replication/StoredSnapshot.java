package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * State of the state machine at one position of the log.
 *
 * @param meta position and voters
 * @param data encoded state; treated as immutable
 */
public record StoredSnapshot(SnapshotMeta meta, byte[] data) {

    /** Checks the components. */
    public StoredSnapshot {
        Objects.requireNonNull(meta, "meta");
        Objects.requireNonNull(data, "data");
    }
}

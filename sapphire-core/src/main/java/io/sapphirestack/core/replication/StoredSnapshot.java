package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * Snapshot of the state machine at one position of the log.
 *
 * @param meta log position and voters
 * @param data encoded state; must not be modified
 */
public record StoredSnapshot(SnapshotMeta meta, byte[] data) {

    /** Validates the components. */
    public StoredSnapshot {
        Objects.requireNonNull(meta, "meta");
        Objects.requireNonNull(data, "data");
    }
}

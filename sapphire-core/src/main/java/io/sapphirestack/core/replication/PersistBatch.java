package io.sapphirestack.core.replication;

import java.util.List;
import java.util.Optional;

/**
 * Changes to be made durable; they are applied in the order of the components.
 *
 * @param number sequence number, counted from 1 since the node was created
 * @param hardState new hard state, or empty if it has not changed
 * @param snapshot new snapshot, or empty if there is none
 * @param discardLog whether the snapshot replaces all stored entries
 * @param truncateFrom index from which all stored entries are removed, 0 for none
 * @param entries entries to append, possibly empty
 */
public record PersistBatch(
        long number,
        Optional<HardState> hardState,
        Optional<StoredSnapshot> snapshot,
        boolean discardLog,
        long truncateFrom,
        List<ReplicationEntry> entries) {

    /** Makes an immutable copy of the list. */
    public PersistBatch {
        entries = List.copyOf(entries);
    }
}

package io.sapphirestack.core.replication;

import java.util.List;
import java.util.Optional;

/**
 * Changes to be made durable, in the order of the components.
 *
 * @param number position among the batches of one run of a node
 * @param hardState new hard state, if it changed
 * @param snapshot new snapshot, if any
 * @param discardLog whether all entries in the storage are replaced by the snapshot
 * @param truncateFrom first index to remove from the end of the log, 0 for none
 * @param entries entries to append
 */
public record PersistBatch(
        long number,
        Optional<HardState> hardState,
        Optional<StoredSnapshot> snapshot,
        boolean discardLog,
        long truncateFrom,
        List<ReplicationEntry> entries) {

    /** Copies the list. */
    public PersistBatch {
        entries = List.copyOf(entries);
    }
}

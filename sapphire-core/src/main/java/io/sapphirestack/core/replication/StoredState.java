package io.sapphirestack.core.replication;

import java.util.List;
import java.util.Optional;

/**
 * Everything that a storage holds.
 *
 * @param hardState term, vote and identities
 * @param snapshot newest snapshot
 * @param entries log entries after the snapshot; the first follows it without a gap
 */
public record StoredState(
        HardState hardState, Optional<StoredSnapshot> snapshot, List<ReplicationEntry> entries) {

    /** Copies the list. */
    public StoredState {
        entries = List.copyOf(entries);
    }
}

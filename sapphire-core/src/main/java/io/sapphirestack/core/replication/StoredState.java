package io.sapphirestack.core.replication;

import java.util.List;
import java.util.Optional;

/**
 * Content of the durable storage of a node.
 *
 * @param hardState term, vote and identities
 * @param snapshot latest snapshot, or empty if there is none
 * @param entries log entries after the snapshot; the first follows it without a gap
 */
public record StoredState(
        HardState hardState, Optional<StoredSnapshot> snapshot, List<ReplicationEntry> entries) {

    /** Makes an immutable copy of the list. */
    public StoredState {
        entries = List.copyOf(entries);
    }
}

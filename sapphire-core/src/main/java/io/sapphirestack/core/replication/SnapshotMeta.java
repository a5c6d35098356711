package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * Position and voters of a snapshot.
 *
 * @param index last entry that the snapshot contains
 * @param term term of that entry
 * @param timeMs time of that entry
 * @param membership voters at that entry
 */
public record SnapshotMeta(long index, long term, long timeMs, ClusterMembership membership) {

    /** Position before the first entry. */
    public static final SnapshotMeta NONE = new SnapshotMeta(0, 0, 0, ClusterMembership.NONE);

    /** Checks the components. */
    public SnapshotMeta {
        Objects.requireNonNull(membership, "membership");
    }
}

package io.sapphirestack.core.replication;

import java.util.Objects;

/**
 * Log position and voters of a snapshot.
 *
 * @param index index of the last entry that the snapshot contains, 0 if there is no snapshot
 * @param term term of that entry
 * @param timeMs time of that entry in milliseconds since the Unix epoch
 * @param membership voters as of that entry
 */
public record SnapshotMeta(long index, long term, long timeMs, ClusterMembership membership) {

    /** Metadata for the case that there is no snapshot. */
    public static final SnapshotMeta NONE = new SnapshotMeta(0, 0, 0, ClusterMembership.NONE);

    /** Validates the components. */
    public SnapshotMeta {
        Objects.requireNonNull(membership, "membership");
    }
}

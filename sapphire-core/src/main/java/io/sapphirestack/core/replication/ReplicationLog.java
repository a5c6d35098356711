package io.sapphirestack.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * In-memory log of one node. Retains some entries that the snapshot already covers, so that a
 * follower that is only slightly behind does not need the snapshot. Not thread-safe.
 */
final class ReplicationLog {

    /**
     * Maximum number of retained entries that the snapshot covers; about one second at the target
     * load.
     */
    static final int MAX_TRAILING_ENTRIES = 2_048;

    /**
     * Maximum total size of these entries, in bytes. Limited because the stored response of a
     * single order can take megabytes.
     */
    static final long MAX_TRAILING_BYTES = 8 * 1024 * 1024;

    private SnapshotMeta snapshotMeta;
    private byte[] snapshotData;

    /** Index of the entry before the first one in memory. */
    private long baseIndex;

    /** Term of the entry at {@link #baseIndex}. */
    private long baseTerm;

    private final List<ReplicationEntry> entries = new ArrayList<>();

    /** Voters by the index of the entry or snapshot that sets them. */
    private final NavigableMap<Long, ClusterMembership> memberships = new TreeMap<>();

    ReplicationLog(StoredState stored) {
        snapshotMeta = stored.snapshot().map(StoredSnapshot::meta).orElse(SnapshotMeta.NONE);
        snapshotData = stored.snapshot().map(StoredSnapshot::data).orElse(new byte[0]);
        baseIndex = snapshotMeta.index();
        baseTerm = snapshotMeta.term();
        memberships.put(snapshotMeta.index(), snapshotMeta.membership());
        stored.entries().forEach(this::append);
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    long lastTimeMs() {
        return entries.isEmpty()
                ? snapshotMeta.timeMs()
                : Math.max(snapshotMeta.timeMs(), entries.get(entries.size() - 1).timeMs());
    }

    boolean isEmpty() {
        return lastIndex() == 0;
    }

    /** Returns whether a log with the given last entry is at least as up-to-date as this log. */
    boolean isOtherLogUpToDate(long otherLastIndex, long otherLastTerm) {
        return otherLastTerm > lastTerm()
                || otherLastTerm == lastTerm() && otherLastIndex >= lastIndex();
    }

    /** Returns the term of an entry, or -1 if the entry is not in memory. */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        if (index < baseIndex || index > lastIndex()) {
            return -1;
        }
        return get(index).term();
    }

    ReplicationEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /**
     * Returns consecutive entries.
     *
     * @param from first index
     * @param to last index, inclusive
     * @param maxBytes limit on the total size; the first entry is always included
     */
    List<ReplicationEntry> range(long from, long to, int maxBytes) {
        List<ReplicationEntry> result = new ArrayList<>();
        long bytes = 0;
        for (long index = from; index <= to; index++) {
            ReplicationEntry entry = get(index);
            bytes += entry.sizeBytes();
            if (!result.isEmpty() && bytes > maxBytes) {
                break;
            }
            result.add(entry);
        }
        return result;
    }

    void append(ReplicationEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow entry " + lastIndex());
        }
        entries.add(entry);
        entry.membership().ifPresent(value -> memberships.put(entry.index(), value));
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        memberships.tailMap(index, true).clear();
    }

    ClusterMembership membership() {
        return memberships.lastEntry().getValue();
    }

    long membershipIndex() {
        return memberships.lastKey();
    }

    SnapshotMeta snapshotMeta() {
        return snapshotMeta;
    }

    byte[] snapshotData() {
        return snapshotData;
    }

    /**
     * Sets the snapshot and discards entries that it covers, except for the trailing ones.
     *
     * @param index last entry that the snapshot contains
     * @param data encoded state of the state machine
     * @return the snapshot with its metadata
     */
    StoredSnapshot compact(long index, byte[] data) {
        ClusterMembership membership = memberships.floorEntry(index).getValue();
        snapshotMeta = new SnapshotMeta(index, termAt(index), get(index).timeMs(), membership);
        snapshotData = data;
        long newBase = index;
        long trailingBytes = 0;
        while (newBase > baseIndex && newBase > index - MAX_TRAILING_ENTRIES) {
            trailingBytes += get(newBase).sizeBytes();
            if (trailingBytes > MAX_TRAILING_BYTES) {
                break;
            }
            newBase--;
        }
        if (newBase > baseIndex) {
            long newBaseTerm = termAt(newBase);
            entries.subList(0, (int) (newBase - baseIndex)).clear();
            baseIndex = newBase;
            baseTerm = newBaseTerm;
        }
        discardMembershipsBefore(index);
        return new StoredSnapshot(snapshotMeta, data);
    }

    /** Replaces the entire log by a snapshot. */
    void install(StoredSnapshot snapshot) {
        snapshotMeta = snapshot.meta();
        snapshotData = snapshot.data();
        entries.clear();
        memberships.clear();
        baseIndex = snapshotMeta.index();
        baseTerm = snapshotMeta.term();
        memberships.put(snapshotMeta.index(), snapshotMeta.membership());
    }

    private void discardMembershipsBefore(long index) {
        Map.Entry<Long, ClusterMembership> floor = memberships.floorEntry(index);
        memberships.headMap(floor.getKey(), false).clear();
    }
}

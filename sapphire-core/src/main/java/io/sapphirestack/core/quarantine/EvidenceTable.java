package io.sapphirestack.core.quarantine;

import java.util.Collection;
import java.util.List;

/**
 * Entries that all instances collect and pass on. Merging is idempotent and independent of the
 * order. Implementations are thread-safe.
 *
 * @param <T> type of an entry
 */
public interface EvidenceTable<T> {

    /** Returns a number that grows with each change; 0 means that there never was an entry. */
    long version();

    /**
     * Returns the entries that changed after a version.
     *
     * @param sinceVersion version, 0 for all entries
     * @return entries in no particular order
     */
    List<T> changedSince(long sinceVersion);

    /**
     * Adds entries, or merges them with those that have the same key.
     *
     * @param received entries
     */
    void merge(Collection<T> received);
}

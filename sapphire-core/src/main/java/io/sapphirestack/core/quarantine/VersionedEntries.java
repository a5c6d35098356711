package io.sapphirestack.core.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Entries by key, with the version at which each last changed. Reads may happen at any time; the
 * code that uses an instance serializes the changes.
 *
 * @param <K> type of the keys
 * @param <T> type of the entries
 */
final class VersionedEntries<K, T> {

    private final Map<K, Versioned<T>> entries = new ConcurrentHashMap<>();
    private volatile long version;
    private volatile Runnable changeListener = () -> {};

    private record Versioned<T>(T entry, long version) {}

    void setChangeListener(Runnable listener) {
        changeListener = Objects.requireNonNull(listener, "listener");
    }

    /** Returns a number that grows with each change; 0 means that there never was an entry. */
    long version() {
        return version;
    }

    void put(K key, T entry) {
        // The version changes last, so that a reader of the new version finds the entry.
        long next = version + 1;
        entries.put(key, new Versioned<>(entry, next));
        version = next;
        changeListener.run();
    }

    /** Removes an entry; the version stays, because a removal is not passed on. */
    void remove(K key) {
        entries.remove(key);
    }

    Optional<T> find(K key) {
        return Optional.ofNullable(entries.get(key)).map(Versioned::entry);
    }

    int size() {
        return entries.size();
    }

    Collection<T> all() {
        return changedSince(0);
    }

    List<T> changedSince(long sinceVersion) {
        return entries.values().stream()
                .filter(versioned -> versioned.version() > sinceVersion)
                .map(Versioned::entry)
                .toList();
    }
}

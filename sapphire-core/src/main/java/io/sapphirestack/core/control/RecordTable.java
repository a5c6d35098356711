package io.sapphirestack.core.control;

import com.fasterxml.jackson.databind.node.NullNode;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Current records and their most recent versions. Not thread-safe. */
final class RecordTable {

    /** Maximum number of versions that are kept for each record. */
    static final int MAX_VERSIONS = 10;

    private final Map<RecordKey, ConfigRecord> records = new TreeMap<>();

    /** Versions of each record, oldest first; a deletion is a version with a null body. */
    private final Map<RecordKey, List<ConfigRecord>> histories = new TreeMap<>();

    Map<RecordKey, ConfigRecord> records() {
        return records;
    }

    Optional<ConfigRecord> find(RecordKey key) {
        return Optional.ofNullable(records.get(key));
    }

    /** Returns the current revision of a record, or 0 if it does not exist. */
    long revisionOf(RecordKey key) {
        return find(key).map(ConfigRecord::revision).orElse(0L);
    }

    ControlResult.RecordConflict createConflict(RecordKey key) {
        List<ConfigRecord> versions = histories.getOrDefault(key, List.of());
        if (versions.isEmpty()) {
            return new ControlResult.RecordConflict(0, "", "");
        }
        ConfigRecord last = versions.get(versions.size() - 1);
        return new ControlResult.RecordConflict(revisionOf(key), last.changeId(), last.operator());
    }

    void put(ConfigRecord record) {
        records.put(record.key(), record);
        addVersion(record);
    }

    /** Stores a record without adding it to the version history. */
    void putWithoutHistory(ConfigRecord record) {
        records.put(record.key(), record);
    }

    void delete(RecordKey key, long index, String changeId, String operator) {
        ConfigRecord removed = records.remove(key);
        addVersion(
                new ConfigRecord(
                        key,
                        removed.schemaVersion(),
                        removed.minimumReader(),
                        index,
                        changeId,
                        operator,
                        NullNode.getInstance()));
    }

    List<ConfigRecord> versionsNewestFirst(RecordKey key) {
        List<ConfigRecord> versions = new ArrayList<>(histories.getOrDefault(key, List.of()));
        Collections.reverse(versions);
        return versions;
    }

    List<List<ConfigRecord>> histories() {
        return histories.values().stream().map(List::copyOf).toList();
    }

    void restore(Map<RecordKey, ConfigRecord> restored, List<List<ConfigRecord>> versions) {
        records.clear();
        records.putAll(restored);
        histories.clear();
        for (List<ConfigRecord> list : versions) {
            histories.put(list.get(0).key(), new ArrayList<>(list));
        }
    }

    private void addVersion(ConfigRecord record) {
        List<ConfigRecord> versions =
                histories.computeIfAbsent(record.key(), key -> new ArrayList<>());
        versions.add(record);
        if (versions.size() > MAX_VERSIONS) {
            versions.remove(0);
        }
    }
}

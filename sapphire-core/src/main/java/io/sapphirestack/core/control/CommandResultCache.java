package io.sapphirestack.core.control;

import io.sapphirestack.core.control.ControlSnapshot.StoredResult;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Results of commands by change id or join id, so that a command that is resent gets the result of
 * the first one. The oldest results are dropped beyond the capacity. Not thread-safe.
 */
final class CommandResultCache {

    private final int capacity;

    /** Results by identifier, oldest first. */
    private final Map<String, ControlResult> results = new LinkedHashMap<>();

    CommandResultCache(int capacity) {
        this.capacity = capacity;
    }

    Optional<ControlResult> find(String id) {
        return Optional.ofNullable(results.get(id));
    }

    /** Stores a result and returns it. */
    ControlResult put(String id, ControlResult result) {
        results.put(id, result);
        if (results.size() > capacity) {
            Iterator<String> oldest = results.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return result;
    }

    /** Returns all results, oldest first. */
    List<StoredResult> toList() {
        return results.entrySet().stream()
                .map(entry -> new StoredResult(entry.getKey(), entry.getValue()))
                .toList();
    }

    void restore(List<StoredResult> restored) {
        results.clear();
        restored.forEach(stored -> results.put(stored.id(), stored.result()));
    }
}

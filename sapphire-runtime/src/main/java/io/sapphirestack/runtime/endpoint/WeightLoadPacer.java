package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.WeightStoreSpec;
import java.util.HashSet;
import java.util.Set;

/**
 * Spaces loads so that the weight store's rate and concurrency limits hold: the next load starts
 * once the store had time to serve the one before. Not thread-safe.
 */
final class WeightLoadPacer {
    private final Set<EndpointId> active = new HashSet<>();
    private long nextStartMs = Long.MIN_VALUE;

    /** Forgets everything, for a new leader. */
    void reset() {
        active.clear();
        nextStartMs = Long.MIN_VALUE;
    }

    /** Counts a load that another leader started. */
    void adopt(EndpointId id, WeightStoreSpec store, long weightBytes, long nowMs) {
        active.add(id);
        nextStartMs = Math.max(nextStartMs, nowMs + durationMs(store, weightBytes));
    }

    /** Starts a load if the limits allow it, with some places kept for loads that may exist. */
    boolean tryStart(
            EndpointId id, WeightStoreSpec store, long weightBytes, int reserved, long nowMs) {
        if (active.size() + reserved >= store.maxConcurrentLoads()
                || nowMs < nextStartMs
                || active.contains(id)) {
            return false;
        }
        active.add(id);
        nextStartMs = nowMs + durationMs(store, weightBytes);
        return true;
    }

    /** Ends a load. Its bytes stay counted, because they may have been fetched. */
    void end(EndpointId id) {
        active.remove(id);
    }

    int active() {
        return active.size();
    }

    private static long durationMs(WeightStoreSpec store, long weightBytes) {
        return (long) Math.ceil(weightBytes * 1_000.0 / store.bytesPerS());
    }
}

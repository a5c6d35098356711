package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.WeightStoreSpec;
import java.util.HashSet;
import java.util.Set;

/**
 * Delays model loads to keep the rate and concurrency limits of the weight store: a load starts
 * only after the time that the store needs to serve the previous one. Not thread-safe.
 */
final class WeightLoadPacer {
    private final Set<EndpointId> activeLoads = new HashSet<>();
    private long nextStartMs = Long.MIN_VALUE;

    /** Clears all state at the beginning of a new leader term. */
    void reset() {
        activeLoads.clear();
        nextStartMs = Long.MIN_VALUE;
    }

    /** Adds a load that was started by a former leader. */
    void adopt(EndpointId id, WeightStoreSpec store, long weightBytes, long nowMs) {
        activeLoads.add(id);
        nextStartMs = Math.max(nextStartMs, nowMs + storeTimeMs(store, weightBytes));
    }

    /**
     * Starts a load if the limits allow it and returns whether it did. The reserved number counts
     * against the concurrency limit, for loads that may be in progress at engines whose state has
     * not been read.
     */
    boolean tryStart(
            EndpointId id, WeightStoreSpec store, long weightBytes, int reserved, long nowMs) {
        if (activeLoads.size() + reserved >= store.maxConcurrentLoads()
                || nowMs < nextStartMs
                || activeLoads.contains(id)) {
            return false;
        }
        activeLoads.add(id);
        nextStartMs = nowMs + storeTimeMs(store, weightBytes);
        return true;
    }

    /**
     * Removes a load from the concurrency count. Its bytes still delay the next load, because they
     * may have been fetched.
     */
    void end(EndpointId id) {
        activeLoads.remove(id);
    }

    int activeLoads() {
        return activeLoads.size();
    }

    private static long storeTimeMs(WeightStoreSpec store, long weightBytes) {
        return (long) Math.ceil(weightBytes * 1_000.0 / store.bytesPerS());
    }
}

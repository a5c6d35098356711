package io.sapphirestack.core.version;

import com.dynatrace.hash4j.hashing.Hashing;
import io.sapphirestack.core.record.RolloutSpec;
import java.util.Map;

/**
 * Counts of the responses to rollouts in progress, as instances exchange them. Immutable.
 *
 * @param byHandle counts by handle, see {@link #handleOf}
 */
public record VersionCountsTable(Map<Integer, VersionCounts> byHandle) {

    /** Empty table. */
    public static final VersionCountsTable EMPTY = new VersionCountsTable(Map.of());

    /** Takes an immutable copy of the map. */
    public VersionCountsTable {
        byHandle = Map.copyOf(byHandle);
    }

    /**
     * Computes the handle of the counts of one window.
     *
     * @param order rollout
     * @param route name of the route
     * @param window number of the window
     * @return 32-bit hash
     */
    public static int handleOf(RolloutSpec order, String route, long window) {
        return Hashing.xxh3_64()
                .hashStream()
                .putString(order.service())
                .putString(order.version())
                .putLong(order.startedAtMs())
                .putString(route)
                .putLong(window)
                .getAsInt();
    }

    /**
     * Returns the counts with a handle.
     *
     * @param handle handle
     * @return counts, {@link VersionCounts#NONE} if there are none
     */
    public VersionCounts of(int handle) {
        return byHandle.getOrDefault(handle, VersionCounts.NONE);
    }
}

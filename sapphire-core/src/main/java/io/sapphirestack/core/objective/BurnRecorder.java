package io.sapphirestack.core.objective;

import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts good and bad events by service and objective on one instance. Thread-safe. The counts are
 * kept in memory only, so they cover the time since {@link #sinceMs()}, when this recorder was
 * created.
 */
public final class BurnRecorder {

    private final MillisClock clock;
    private final long sinceMs;
    private final Map<Key, ObjectiveCounters> countersByKey = new ConcurrentHashMap<>();

    /**
     * Creates a recorder.
     *
     * @param clock wall clock, so that the counts of several instances cover the same minutes
     */
    public BurnRecorder(MillisClock clock) {
        this.clock = clock;
        this.sinceMs = clock.nowMs();
    }

    /** Returns the wall-clock time in milliseconds since which events are counted. */
    public long sinceMs() {
        return sinceMs;
    }

    /**
     * Counts one event.
     *
     * @param service service that the event belongs to
     * @param objective objective that the event counts for
     * @param good whether the event met the objective
     * @param cause identifier of the log event that explains a bad event; ignored for a good one
     */
    public void record(String service, Objective objective, boolean good, String cause) {
        ObjectiveCounters counters =
                countersByKey.computeIfAbsent(
                        new Key(service, objective), key -> new ObjectiveCounters());
        counters.buckets.add(clock.nowMs(), good);
        if (!good) {
            counters.causes.computeIfAbsent(cause, key -> new LongAdder()).increment();
        }
    }

    /** Returns the counts of all services and objectives, sorted by service and objective. */
    public List<BurnCount> snapshot() {
        long nowMs = clock.nowMs();
        List<BurnCount> counts = new ArrayList<>();
        for (Map.Entry<Key, ObjectiveCounters> entry : countersByKey.entrySet()) {
            ObjectiveCounters counters = entry.getValue();
            Map<BurnWindow, EventCount> windows = new TreeMap<>();
            for (BurnWindow window : BurnWindow.values()) {
                windows.put(window, counters.buckets.count(nowMs, window.lengthMs()));
            }
            Map<String, Long> causes = new TreeMap<>();
            counters.causes.forEach((cause, count) -> causes.put(cause, count.sum()));
            counts.add(
                    new BurnCount(
                            entry.getKey().service(), entry.getKey().objective(), windows, causes));
        }
        counts.sort(BurnCount.ORDER);
        return counts;
    }

    private record Key(String service, Objective objective) {}

    private static final class ObjectiveCounters {
        private final SlidingWindowCounter buckets = new SlidingWindowCounter();
        private final Map<String, LongAdder> causes = new ConcurrentHashMap<>();
    }
}

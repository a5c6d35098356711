package io.sapphirestack.core.objective;

import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts good and bad events by service and objective on one instance. Thread-safe. The counts live
 * in memory: after a restart they cover only the time since {@link #sinceMs()}.
 */
public final class BurnRecorder {

    private final MillisClock clock;
    private final long sinceMs;
    private final Map<Key, Series> series = new ConcurrentHashMap<>();

    /**
     * Creates a recorder.
     *
     * @param clock wall clock, so that the reports of several instances can be added
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
     * @param objective what the event is about
     * @param good whether it met the objective
     * @param cause number of the log event that explains a bad event; ignored for a good one
     */
    public void record(String service, Objective objective, boolean good, String cause) {
        Series one = series.computeIfAbsent(new Key(service, objective), key -> new Series());
        one.buckets.add(clock.nowMs(), good);
        if (!good) {
            one.causes.computeIfAbsent(cause, key -> new LongAdder()).increment();
        }
    }

    /** Returns the counts of all services and objectives, sorted by service and objective. */
    public List<BurnCount> snapshot() {
        long nowMs = clock.nowMs();
        List<BurnCount> counts = new ArrayList<>();
        for (Map.Entry<Key, Series> entry : series.entrySet()) {
            Series one = entry.getValue();
            Map<BurnWindow, EventCount> windows = new TreeMap<>();
            for (BurnWindow window : BurnWindow.values()) {
                windows.put(window, one.buckets.count(nowMs, window.lengthMs()));
            }
            Map<String, Long> causes = new TreeMap<>();
            one.causes.forEach((cause, count) -> causes.put(cause, count.sum()));
            counts.add(
                    new BurnCount(
                            entry.getKey().service(), entry.getKey().objective(), windows, causes));
        }
        counts.sort(BurnCount.ORDER);
        return counts;
    }

    private record Key(String service, Objective objective) {}

    private static final class Series {
        private final BucketRing buckets = new BucketRing();
        private final Map<String, LongAdder> causes = new ConcurrentHashMap<>();
    }
}

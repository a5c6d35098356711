package io.sapphirestack.core.quarantine;

import io.sapphirestack.core.time.MillisClock;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Crash reports of all instances, as far as this instance knows them. Old reports are removed.
 * Thread-safe.
 */
public final class CrashReportTable implements EvidenceTable<CrashReport> {

    /** Maximum number of reports; the oldest are removed first. */
    public static final int MAX_REPORTS = 128;

    /** Time for which a report is kept, in milliseconds. */
    public static final long RETENTION_MS = 3_600_000;

    /**
     * Maximum difference between the wall clocks of two instances, in milliseconds. Reports from
     * further in the future are ignored, because they would be kept for that much longer.
     */
    static final long MAX_CLOCK_SKEW_MS = 60_000;

    private final MillisClock wallClock;
    private final VersionedEntries<CrashReport.Key, CrashReport> reports = new VersionedEntries<>();

    /**
     * Creates an empty table.
     *
     * @param wallClock wall clock, because reports are compared with those of other instances
     */
    public CrashReportTable(MillisClock wallClock) {
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    void setChangeListener(Runnable listener) {
        reports.setChangeListener(listener);
    }

    @Override
    public long version() {
        return reports.version();
    }

    @Override
    public synchronized void merge(Collection<CrashReport> received) {
        long nowMs = wallClock.nowMs();
        long oldestMs = nowMs - RETENTION_MS;
        for (CrashReport report : received) {
            Optional<CrashReport> known = reports.find(report.key());
            CrashReport merged = known.map(k -> k.mergedWith(report)).orElse(report);
            boolean inRetention =
                    merged.observedAtMs() >= oldestMs
                            && merged.observedAtMs() <= nowMs + MAX_CLOCK_SKEW_MS;
            if (inRetention && !known.equals(Optional.of(merged))) {
                reports.put(merged.key(), merged);
            }
        }
        reports.all().stream()
                .filter(report -> report.observedAtMs() < oldestMs)
                .forEach(report -> reports.remove(report.key()));
        reports.all().stream()
                .sorted(Comparator.comparingLong(CrashReport::observedAtMs))
                .limit(Math.max(0, reports.size() - MAX_REPORTS))
                .forEach(report -> reports.remove(report.key()));
    }

    /**
     * Removes the suspicion of parts from all reports.
     *
     * @param answered handles of parts of a prompt that an engine has begun to answer
     * @return whether a report changed
     */
    synchronized boolean clear(Set<Long> answered) {
        List<CrashReport> changed =
                reports.all().stream()
                        .filter(report -> !report.withCleared(answered).equals(report))
                        .map(report -> report.withCleared(answered))
                        .toList();
        changed.forEach(report -> reports.put(report.key(), report));
        return !changed.isEmpty();
    }

    @Override
    public List<CrashReport> changedSince(long sinceVersion) {
        return reports.changedSince(sinceVersion);
    }
}

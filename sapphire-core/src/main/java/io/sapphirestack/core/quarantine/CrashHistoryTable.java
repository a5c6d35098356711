package io.sapphirestack.core.quarantine;

import io.sapphirestack.core.time.MillisClock;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Crash histories of requests, as all instances observed them, as far as this instance knows.
 * Thread-safe.
 */
public final class CrashHistoryTable implements EvidenceTable<CrashHistory> {

    /**
     * Maximum number of histories. All requests that run at an endpoint that crashes get one; those
     * with the fewest crashes are removed first, so that they do not displace the one that causes
     * the crashes.
     */
    public static final int MAX_HISTORIES = 512;

    /** Histories that are removed beyond the excess, because sorting them has a cost. */
    private static final int REMOVED_AT_ONCE = MAX_HISTORIES / 8;

    private static final Comparator<CrashHistory> BY_SUSPICION =
            Comparator.comparingInt(CrashHistory::suspicion)
                    .thenComparingLong(CrashHistory::lastCrashAtMs);

    private final MillisClock wallClock;
    private final RecentAnswers answers = new RecentAnswers();
    private final VersionedEntries<Long, CrashHistory> histories = new VersionedEntries<>();

    /**
     * Creates an empty table.
     *
     * @param wallClock wall clock, because histories are compared with those of other instances
     */
    public CrashHistoryTable(MillisClock wallClock) {
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    void setChangeListener(Runnable listener) {
        histories.setChangeListener(listener);
    }

    @Override
    public long version() {
        return histories.version();
    }

    @Override
    public List<CrashHistory> changedSince(long sinceVersion) {
        return histories.changedSince(sinceVersion);
    }

    @Override
    public synchronized void merge(Collection<CrashHistory> received) {
        long nowMs = wallClock.nowMs();
        for (CrashHistory history : received) {
            long answeredAtMs = answers.lastAnswerAtMs(history.fingerprint(), nowMs);
            CrashHistory local =
                    find(history.fingerprint())
                            .orElseGet(
                                    () ->
                                            new CrashHistory(
                                                    history.fingerprint(),
                                                    answeredAtMs,
                                                    List.of()));
            CrashHistory merged = local.mergedWith(history);
            boolean inRetention =
                    merged.lastCrashAtMs() >= nowMs - CrashReportTable.RETENTION_MS
                            && merged.lastCrashAtMs() <= nowMs + CrashReportTable.MAX_CLOCK_SKEW_MS;
            if (!merged.equals(local) && inRetention) {
                histories.put(merged.fingerprint(), merged);
            }
        }
        removeExcess(nowMs);
    }

    private void removeExcess(long nowMs) {
        long oldestMs = nowMs - CrashReportTable.RETENTION_MS;
        histories.all().stream()
                .filter(history -> history.lastCrashAtMs() < oldestMs)
                .forEach(history -> histories.remove(history.fingerprint()));
        int excess = histories.size() - MAX_HISTORIES;
        if (excess > 0) {
            histories.all().stream()
                    .sorted(BY_SUSPICION)
                    .limit(excess + REMOVED_AT_ONCE)
                    .forEach(history -> histories.remove(history.fingerprint()));
        }
    }

    /**
     * Records that an endpoint has answered a request.
     *
     * @param fingerprint handle of the fingerprint
     * @return whether the request was suspected of a crash
     */
    synchronized boolean recordAnswer(long fingerprint) {
        long nowMs = wallClock.nowMs();
        answers.add(fingerprint, nowMs);
        Optional<CrashHistory> suspected = find(fingerprint).filter(h -> h.suspicion() > 0);
        suspected.ifPresent(history -> histories.put(fingerprint, history.answered(nowMs)));
        return suspected.isPresent();
    }

    /** Returns the history of a fingerprint, empty if no crash is known. */
    Optional<CrashHistory> find(long fingerprint) {
        return histories.find(fingerprint);
    }
}

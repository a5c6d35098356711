package io.sapphirestack.core.quarantine;

import io.sapphirestack.core.time.MillisClock;
import java.util.Objects;

/**
 * Crashes of endpoints as all instances observed them: by the parts of prompts, and by request.
 *
 * @param reports crashes by the parts of prompts
 * @param histories crashes by request
 */
public record CrashEvidence(CrashReportTable reports, CrashHistoryTable histories) {

    /** Requires both tables. */
    public CrashEvidence {
        Objects.requireNonNull(reports, "reports");
        Objects.requireNonNull(histories, "histories");
    }

    /**
     * Creates evidence without any crash.
     *
     * @param wallClock wall clock
     * @return empty tables
     */
    public static CrashEvidence empty(MillisClock wallClock) {
        return new CrashEvidence(new CrashReportTable(wallClock), new CrashHistoryTable(wallClock));
    }

    /**
     * Sets the listener that is called after each change. It must return at once.
     *
     * @param listener called by any thread
     */
    public void setChangeListener(Runnable listener) {
        reports.setChangeListener(listener);
        histories.setChangeListener(listener);
    }
}

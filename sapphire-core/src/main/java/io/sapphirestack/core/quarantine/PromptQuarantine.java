package io.sapphirestack.core.quarantine;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.time.MillisClock;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Keeps prompts away from engines if one of their parts crashes each engine that begins to answer
 * it. Without a quarantine, such a request ends one engine with each attempt, together with all
 * other requests that run there.
 *
 * <p>The evidence is collected by all instances in a {@link CrashReportTable}. A prompt is
 * quarantined if it contains all parts of a {@link CrashAnalysis.Culprit}; other prompts with some
 * of these parts are still sent and show which part is the cause. A quarantine ends {@value
 * #QUARANTINE_MS} ms after the last crash, because the engines may have been repaired. The reports
 * are kept for longer, so one more crash then renews it. Thread-safe.
 */
public final class PromptQuarantine {

    /** Time from the last crash to the end of a quarantine, in milliseconds. */
    public static final long QUARANTINE_MS = 600_000;

    private final CrashReportTable reports;
    private final MillisClock wallClock;
    private volatile Verdict verdict = new Verdict(0, List.of());

    /**
     * Creates a quarantine.
     *
     * @param reports crash reports of all instances
     * @param wallClock wall clock, the same as that of the table
     */
    public PromptQuarantine(CrashReportTable reports, MillisClock wallClock) {
        this.reports = Objects.requireNonNull(reports, "reports");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    /** Result of the analysis of one version of the table. */
    private record Verdict(long tableVersion, List<CrashAnalysis.Culprit> culprits) {}

    /**
     * Records that an engine crashed while a request waited there for its first event.
     *
     * @param endpoint identifier of the engine
     * @param epochMs start time of its process, in milliseconds
     * @param service name of its service
     * @param prompt parts of the prompt
     * @param request fingerprint of the request
     * @param waitedMs time since the {@linkplain RequestQuarantine#reportedSentAtMs reported} send
     *     time, in milliseconds; negative if a retry fails at once
     */
    public void recordCrash(
            EndpointId endpoint,
            long epochMs,
            String service,
            PromptParts prompt,
            RequestFingerprint request,
            long waitedMs) {
        Set<Long> handles = prompt.handles(service, request);
        long nowMs = wallClock.nowMs();
        if (!handles.isEmpty()) {
            reports.merge(
                    List.of(
                            new CrashReport(
                                    MergedEndpointState.handleOf(endpoint, epochMs),
                                    nowMs - waitedMs,
                                    nowMs,
                                    List.copyOf(handles),
                                    (short) 0)));
        }
    }

    /**
     * Records that an engine has begun to answer a prompt, which clears its parts of suspicion.
     *
     * @param service name of the service of the engine
     * @param prompt parts of the prompt
     * @param request fingerprint of the request
     * @return whether a part was suspected
     */
    public boolean recordAnswer(String service, PromptParts prompt, RequestFingerprint request) {
        return reports.version() > 0 && reports.clear(prompt.handles(service, request));
    }

    /**
     * Returns how long a prompt must not be sent to the engines of a service.
     *
     * @param service name of the service
     * @param prompt parts of the prompt
     * @param request fingerprint of the request
     * @return remaining time in milliseconds, positive; empty if the prompt is not quarantined
     */
    public OptionalLong remainingMs(
            String service, PromptParts prompt, RequestFingerprint request) {
        List<CrashAnalysis.Culprit> culprits = currentVerdict().culprits();
        if (culprits.isEmpty() || prompt.shared().isEmpty()) {
            return OptionalLong.empty();
        }
        Set<Long> handles = prompt.handles(service, request);
        long nowMs = wallClock.nowMs();
        return culprits.stream()
                .filter(culprit -> handles.containsAll(culprit.parts()))
                .mapToLong(culprit -> culprit.lastCrashAtMs() + QUARANTINE_MS - nowMs)
                .filter(remaining -> remaining > 0)
                .max();
    }

    /** Returns the number of parts, or groups of parts that occur only together, in quarantine. */
    public int size() {
        long oldestMs = wallClock.nowMs() - QUARANTINE_MS;
        return (int)
                currentVerdict().culprits().stream()
                        .filter(culprit -> culprit.lastCrashAtMs() > oldestMs)
                        .count();
    }

    private Verdict currentVerdict() {
        Verdict current = verdict;
        long version = reports.version();
        if (current.tableVersion() != version) {
            current = new Verdict(version, CrashAnalysis.findCulprits(reports.changedSince(0)));
            verdict = current;
        }
        return current;
    }
}

package io.sapphirestack.core.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Crashes of endpoints while requests with one fingerprint ran there, and the last answer to such a
 * request. Histories of the same fingerprint are merged, in any order and any number of times, with
 * the same result. Immutable.
 *
 * @param fingerprint handle of the {@link RequestFingerprint}
 * @param answeredAtMs wall-clock time of the last known answer, in milliseconds; 0 if none is known
 * @param crashes crashes by time of observation, one for each process, at most {@value
 *     #MAX_CRASHES}: the latest ones
 */
public record CrashHistory(long fingerprint, long answeredAtMs, List<Crash> crashes) {

    /** Maximum number of crashes that a history keeps. */
    static final int MAX_CRASHES = 8;

    private static final Comparator<Crash> BY_TIME =
            Comparator.comparingLong(Crash::observedAtMs).thenComparingInt(Crash::endpointHandle);

    /** Takes an immutable copy of the crashes. */
    public CrashHistory {
        crashes = List.copyOf(crashes);
    }

    /**
     * Crash of one process while the request ran there.
     *
     * @param endpointHandle handle of the process
     * @param sentAtMs wall-clock time at which the request was sent to it, in milliseconds
     * @param observedAtMs wall-clock time at which an instance observed the crash, in milliseconds
     */
    public record Crash(int endpointHandle, long sentAtMs, long observedAtMs) {

        private Crash mergedWith(Crash other) {
            return new Crash(
                    endpointHandle,
                    Math.min(sentAtMs, other.sentAtMs),
                    Math.min(observedAtMs, other.observedAtMs));
        }
    }

    /** Returns the combination with another history of the same fingerprint. */
    CrashHistory mergedWith(CrashHistory other) {
        return new CrashHistory(
                fingerprint,
                Math.max(answeredAtMs, other.answeredAtMs),
                latest(Stream.concat(crashes.stream(), other.crashes.stream()).toList()));
    }

    private static List<Crash> latest(Collection<Crash> all) {
        Map<Integer, Crash> byProcess = new TreeMap<>();
        all.forEach(crash -> byProcess.merge(crash.endpointHandle(), crash, Crash::mergedWith));
        return byProcess.values().stream()
                .sorted(BY_TIME)
                .skip(Math.max(0, byProcess.size() - MAX_CRASHES))
                .toList();
    }

    /**
     * Returns this history after an answer. The answer counts as later than all crashes that are
     * known here, whatever the clocks of the instances that observed them say.
     */
    CrashHistory answered(long nowMs) {
        long lastSentAtMs = crashes.stream().mapToLong(Crash::sentAtMs).max().orElse(0);
        return new CrashHistory(
                fingerprint, Math.max(answeredAtMs, Math.max(nowMs, lastSentAtMs)), crashes);
    }

    /** Returns the crashes of attempts that were sent after the last answer. */
    private List<Crash> unanswered() {
        return crashes.stream().filter(crash -> crash.sentAtMs() > answeredAtMs).toList();
    }

    /**
     * Returns the number of crashes that speak against the request. A request that was never
     * answered is suspected of each crash. For one that was answered before, the crashes of a rack
     * or availability zone count as one: many requests for popular content run there.
     */
    int suspicion() {
        List<Crash> unanswered = unanswered();
        return answeredAtMs == 0 ? unanswered.size() : episodes(unanswered);
    }

    private static int episodes(List<Crash> byTime) {
        int episodes = 0;
        long episodeAtMs = 0;
        for (Crash crash : byTime) {
            boolean isNew =
                    episodes == 0
                            || CrashAnalysis.isNewEpisode(
                                    episodeAtMs, crash.sentAtMs(), crash.observedAtMs());
            if (isNew) {
                episodes++;
                episodeAtMs = crash.observedAtMs();
            }
        }
        return episodes;
    }

    /** Returns the time of the last crash, in milliseconds; 0 if there is none. */
    long lastCrashAtMs() {
        return crashes.isEmpty() ? 0 : crashes.get(crashes.size() - 1).observedAtMs();
    }
}

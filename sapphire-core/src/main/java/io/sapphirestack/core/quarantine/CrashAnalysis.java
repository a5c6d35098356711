package io.sapphirestack.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the prompt parts that explain the crashes of engines. A part explains a crash if a prompt
 * with it waited for its first event at the engine and no later prompt with it was answered. The
 * part that explains most crashes is chosen first, and its crashes are no evidence against others.
 */
final class CrashAnalysis {

    /**
     * Number of crash episodes after which a part is quarantined. A prompt that loses two engines
     * one after the other is still plausible without any fault of its own.
     */
    static final int MIN_EPISODES = 3;

    /**
     * Time within which crashes count as one episode, in milliseconds. The engines of a rack or
     * availability zone crash together, whatever their prompts contain. A prompt that was sent
     * after the previous crash and loses its engine as well starts a new episode all the same.
     */
    static final long EPISODE_MS = 300;

    private CrashAnalysis() {}

    /**
     * Parts of which at least one crashes engines. Parts that occur only together cannot be told
     * apart.
     *
     * @param parts handles of the parts
     * @param lastCrashAtMs wall-clock time of the last crash that they explain, in milliseconds
     */
    record Culprit(Set<Long> parts, long lastCrashAtMs) {}

    static List<Culprit> findCulprits(Collection<CrashReport> reports) {
        List<CrashReport> unexplained = new ArrayList<>(reports);
        List<Culprit> culprits = new ArrayList<>();
        for (Optional<Long> part = mostSuspect(unexplained);
                part.isPresent();
                part = mostSuspect(unexplained)) {
            List<CrashReport> explained = reportsOf(part.get(), unexplained);
            culprits.add(culpritOf(explained));
            Set<Integer> crashed = new LinkedHashSet<>();
            explained.forEach(report -> crashed.add(report.endpointHandle()));
            unexplained.removeIf(report -> crashed.contains(report.endpointHandle()));
        }
        return culprits;
    }

    private static Optional<Long> mostSuspect(List<CrashReport> reports) {
        Set<Long> suspects = new LinkedHashSet<>();
        reports.forEach(report -> suspects.addAll(report.suspects()));
        Map<Long, Integer> episodesByPart = new HashMap<>();
        suspects.forEach(part -> episodesByPart.put(part, episodes(reportsOf(part, reports))));
        return episodesByPart.entrySet().stream()
                .filter(entry -> entry.getValue() >= MIN_EPISODES)
                .max(
                        Map.Entry.<Long, Integer>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private static List<CrashReport> reportsOf(long part, List<CrashReport> reports) {
        return reports.stream().filter(report -> report.suspects().contains(part)).toList();
    }

    /** Returns the number of episodes of different processes that crashed. */
    private static int episodes(List<CrashReport> reports) {
        List<CrashReport> byTime = new ArrayList<>(reports);
        byTime.sort(Comparator.comparingLong(CrashReport::observedAtMs));
        Set<Integer> crashed = new HashSet<>();
        int episodes = 0;
        long episodeAtMs = 0;
        for (CrashReport report : byTime) {
            boolean isNew =
                    episodes == 0
                            || report.sentAtMs() >= episodeAtMs
                            || report.observedAtMs() > episodeAtMs + EPISODE_MS;
            if (crashed.add(report.endpointHandle()) && isNew) {
                episodes++;
                episodeAtMs = report.observedAtMs();
            }
        }
        return episodes;
    }

    private static Culprit culpritOf(List<CrashReport> explained) {
        Set<Long> common = new LinkedHashSet<>(explained.get(0).suspects());
        explained.forEach(report -> common.retainAll(report.suspects()));
        long lastCrashAtMs =
                explained.stream()
                        .max(Comparator.comparingLong(CrashReport::observedAtMs))
                        .orElseThrow()
                        .observedAtMs();
        return new Culprit(Set.copyOf(common), lastCrashAtMs);
    }
}

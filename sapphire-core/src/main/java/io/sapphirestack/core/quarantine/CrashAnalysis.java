package io.sapphirestack.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

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

    /**
     * Largest error of the order of two times of one instance, in milliseconds. A send time is
     * converted from the monotonic to the wall clock, and both count whole milliseconds that begin
     * at different moments.
     */
    static final long MAX_TIME_ERROR_MS = 1;

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
        for (List<CrashReport> explained = mostExplained(unexplained);
                !explained.isEmpty();
                explained = mostExplained(unexplained)) {
            culprits.add(culpritOf(explained));
            Set<Integer> crashed = new HashSet<>();
            explained.forEach(report -> crashed.add(report.endpointHandle()));
            unexplained.removeIf(report -> crashed.contains(report.endpointHandle()));
        }
        return culprits;
    }

    /** Returns the reports that the most suspect part explains, none if no part has enough. */
    private static List<CrashReport> mostExplained(List<CrashReport> reports) {
        Map<Long, List<CrashReport>> byPart = new TreeMap<>();
        for (CrashReport report : reports) {
            for (long part : report.suspects()) {
                byPart.computeIfAbsent(part, key -> new ArrayList<>()).add(report);
            }
        }
        List<CrashReport> most = List.of();
        int mostEpisodes = MIN_EPISODES - 1;
        for (List<CrashReport> explained : byPart.values()) {
            int episodes = explained.size() > mostEpisodes ? episodes(explained) : 0;
            if (episodes > mostEpisodes) {
                most = explained;
                mostEpisodes = episodes;
            }
        }
        return most;
    }

    /** Returns the number of episodes in which different processes crashed. */
    private static int episodes(List<CrashReport> reports) {
        List<CrashReport> byTime = new ArrayList<>(reports);
        byTime.sort(Comparator.comparingLong(CrashReport::observedAtMs));
        Set<Integer> crashed = new HashSet<>();
        int episodes = 0;
        long episodeAtMs = 0;
        for (CrashReport report : byTime) {
            boolean isNew =
                    episodes == 0
                            || isNewEpisode(episodeAtMs, report.sentAtMs(), report.observedAtMs());
            if (crashed.add(report.endpointHandle()) && isNew) {
                episodes++;
                episodeAtMs = report.observedAtMs();
            }
        }
        return episodes;
    }

    /**
     * Returns whether a crash does not belong to an earlier episode. A request that was sent within
     * the error of the times is taken as sent before the crash; the times of retries are reported
     * with a margin above it.
     *
     * @param episodeAtMs time of the first crash of the episode, in milliseconds
     * @param sentAtMs time at which the request was sent to the process that crashed
     * @param observedAtMs time of its crash
     */
    static boolean isNewEpisode(long episodeAtMs, long sentAtMs, long observedAtMs) {
        return sentAtMs > episodeAtMs + MAX_TIME_ERROR_MS
                || observedAtMs > episodeAtMs + EPISODE_MS;
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

package io.sapphirestack.core.rollout;

import io.sapphirestack.core.version.VersionCounts;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * What is known about both versions during a rollout. Windows are merged until late counts cannot
 * change them any more, and then added to the sequential test. Not thread-safe.
 */
public final class RolloutEvidence {

    /** Length of a window, in milliseconds. */
    public static final long WINDOW_MS = 500;

    /**
     * Number of windows for which counts are kept and exchanged. A count takes at most a second
     * through the dissemination tree, and wall clocks of instances differ by less than a second.
     */
    public static final int RETAINED_WINDOWS = 8;

    /** Number of the last windows that show whether the new version serves its share. */
    private static final int RECENT_WINDOWS = 4;

    /** Requests by which the new version may be below its share, because requests are random. */
    private static final double SHARE_SLACK_REQUESTS = 3;

    /** Part of its share that the new version has to serve at least. */
    private static final double MIN_PART_OF_SHARE = 0.25;

    private final double lnClear;
    private final SequentialComparison settled;
    private final NavigableMap<Long, Map<String, Window>> pending = new TreeMap<>();
    private long firstPendingWindow = Long.MIN_VALUE;
    private double lnEvidence = Double.NEGATIVE_INFINITY;

    /** Counts of a route in a window, with their likelihood ratios. */
    private record Window(VersionCounts counts, double[] lnRatios) {}

    /**
     * Creates an object without evidence.
     *
     * @param periodMs time from the order to its deadline, in milliseconds
     * @param level probability with which a good version may be found bad
     */
    public RolloutEvidence(long periodMs, double level) {
        this.settled = new SequentialComparison(Math.max(1, periodMs / WINDOW_MS));
        this.lnClear = -Math.log(level);
    }

    /**
     * Returns the number of the window of a time.
     *
     * @param nowMs time, in Unix milliseconds
     */
    public static long windowOf(long nowMs) {
        return nowMs / WINDOW_MS;
    }

    /**
     * Merges the counts of a window known so far; those of a settled window are ignored.
     *
     * @param window number of the window
     * @param route name of the route
     * @param counts counts of all instances
     */
    public void merge(long window, String route, VersionCounts counts) {
        if (window >= firstPendingWindow && !counts.equals(VersionCounts.NONE)) {
            Map<String, Window> byRoute = pending.computeIfAbsent(window, w -> new TreeMap<>());
            Window old = byRoute.get(route);
            VersionCounts merged = old == null ? counts : old.counts().max(counts);
            if (old == null || !merged.equals(old.counts())) {
                byRoute.put(route, new Window(merged, SequentialComparison.window(merged)));
            }
        }
    }

    /**
     * Settles old windows and evaluates all of them.
     *
     * @param nowMs current time, in Unix milliseconds
     */
    public void evaluate(long nowMs) {
        firstPendingWindow = Math.max(firstPendingWindow, windowOf(nowMs) - RETAINED_WINDOWS + 1);
        Map<Long, Map<String, Window>> old = pending.headMap(firstPendingWindow, false);
        old.values().forEach(window -> settled.add(lnRatios(window)));
        old.clear();
        SequentialComparison all = settled.copy();
        pending.values().forEach(window -> all.add(lnRatios(window)));
        lnEvidence = all.lnEvidence();
    }

    private static Map<String, double[]> lnRatios(Map<String, Window> window) {
        Map<String, double[]> ratios = new HashMap<>();
        window.forEach((route, value) -> ratios.put(route, value.lnRatios()));
        return ratios;
    }

    /** Returns whether the new version is clearly worse than the old one. */
    public boolean isClear() {
        return lnEvidence >= lnClear;
    }

    /**
     * Returns the evidence against the new version at the last evaluation, as a natural logarithm;
     * negative infinity without any.
     */
    public double lnEvidence() {
        return lnEvidence;
    }

    /**
     * Returns whether the new version served its share lately. Without requests it does.
     *
     * @param share share of the requests that it should get, from 0 to 1
     */
    public boolean servesShare(double share) {
        VersionCounts recent = VersionCounts.NONE;
        int windows = 0;
        for (Map<String, Window> window : pending.descendingMap().values()) {
            if (windows++ < RECENT_WINDOWS) {
                recent =
                        window.values().stream()
                                .map(Window::counts)
                                .reduce(recent, VersionCounts::plus);
            }
        }
        double expected = share * (recent.oldRequests() + recent.newRequests());
        return recent.newRequests() + SHARE_SLACK_REQUESTS >= MIN_PART_OF_SHARE * expected;
    }
}

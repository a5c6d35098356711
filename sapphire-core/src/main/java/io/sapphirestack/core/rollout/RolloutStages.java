package io.sapphirestack.core.rollout;

import java.util.List;

/**
 * Stages of a rollout. Load that it addresses: a bad version must not get more than a tenth of the
 * requests between the order and its deadline, even if it turns bad in the last moment or only
 * under load. So the new version gets a small share for most of the time, a third of the load for a
 * short time near the end, when a fault that depends on load shows, and all of it just before the
 * old endpoints are given up. All shares together are about 0.08 of the requests of the period, so
 * that the bound holds for a version that is never found bad, also when the load peaks at the end.
 */
public final class RolloutStages {

    private static final double FIRST_SHARE = 0.01;
    private static final double COMPARING_SHARE = 0.03;
    private static final double LOADED_SHARE = 0.35;

    private static final double COMPARING_START = 0.05;
    private static final double LOADED_DURATION = 0.07;
    private static final double FULL_DURATION = 0.03;

    /** Longest time with all traffic before the deadline, in milliseconds. */
    private static final long MAX_FULL_MS = 5_000;

    /**
     * Shortest time with all traffic before the deadline, in milliseconds, unless it exceeds {@link
     * #MAX_FULL_FRACTION} of the period. All instances must know the last stage before the old
     * endpoints stop, and the end must be committed before the deadline.
     */
    private static final long MIN_FULL_MS = 1_200;

    private static final double MAX_FULL_FRACTION = 0.04;

    private final List<Stage> stages;
    private final long endMs;

    /**
     * Stage of a rollout.
     *
     * @param share share of the requests that the new version gets, from 0 to 1
     * @param startMs earliest start, in milliseconds after the order
     */
    public record Stage(double share, long startMs) {}

    /**
     * Creates the stages of a rollout.
     *
     * @param periodMs time from the order to its deadline, in milliseconds, positive
     */
    public RolloutStages(long periodMs) {
        double shortestMs = Math.min(MIN_FULL_MS, MAX_FULL_FRACTION * periodMs);
        long fullMs = (long) Math.min(MAX_FULL_MS, Math.max(shortestMs, FULL_DURATION * periodMs));
        long fullStartMs = periodMs - fullMs;
        stages =
                List.of(
                        new Stage(FIRST_SHARE, 0),
                        new Stage(COMPARING_SHARE, (long) (COMPARING_START * periodMs)),
                        new Stage(LOADED_SHARE, fullStartMs - (long) (LOADED_DURATION * periodMs)),
                        new Stage(1, fullStartMs));
        endMs = periodMs - fullMs / 2;
    }

    /**
     * Returns a stage.
     *
     * @param number number of the stage, from 0
     * @return the stage, the last one for a higher number
     */
    public Stage stage(int number) {
        return stages.get(Math.min(number, stages.size() - 1));
    }

    /**
     * Returns whether a stage is the last one, in which the new version gets all requests.
     *
     * @param number number of the stage
     */
    public boolean isLast(int number) {
        return number >= stages.size() - 1;
    }

    /** Returns the time at which the rollout ends, in milliseconds after the order. */
    public long endMs() {
        return endMs;
    }
}

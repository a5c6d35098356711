package io.sapphirestack.core.admission;

import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficRoute;
import java.util.List;
import java.util.OptionalInt;

/**
 * Computes how urgent an attempt of a stream is for its engine, which sees the streams of all
 * instances. Addresses engines that have more streams than memory or slots, where the streams of
 * several routes compete.
 *
 * <p>An engine preempts less urgent running streams when its memory runs out, and prefills their
 * prompts again. There are therefore few levels, and the urgency of new streams of one priority
 * does not grow with time: a new stream never preempts one that runs at the same priority. Each
 * priority has two levels: streams that have started, then new ones. After them come new streams
 * that can no longer meet their target latency, because they are worth little at any priority.
 * Stateless.
 */
public final class StreamUrgency {

    /** Highest urgency value, the least urgent. */
    public static final int LEAST = 9;

    /** Number of groups of priorities that are distinguished. */
    static final int GROUPS = 3;

    /** Levels of each group: started streams and new ones. */
    static final int LEVELS_PER_GROUP = 2;

    /** Urgency of the late streams of the first group. */
    static final int FIRST_LATE = LEAST - GROUPS + 1;

    private StreamUrgency() {}

    /**
     * Attempt of a stream.
     *
     * @param route route of the stream
     * @param ageMs time since its request arrived, in milliseconds
     * @param expectedMs shortest time until the first event of the attempt, in milliseconds; 0 if
     *     unknown
     * @param started whether the caller has received an event
     */
    public record Attempt(TrafficRoute route, long ageMs, long expectedMs, boolean started) {

        /** Returns whether the first event cannot arrive within the target latency. */
        public boolean isLate() {
            return !started && ageMs + expectedMs > route.targetLatencyMs();
        }
    }

    /**
     * Returns the urgency of an attempt.
     *
     * @param plan traffic plan in force
     * @param service name of the service that the attempt is sent to
     * @param attempt attempt
     * @return urgency from 0, the most urgent, to 9; empty if the stream routes of the service
     *     differ neither in priority nor in target latency
     */
    public static OptionalInt of(TrafficPlan plan, String service, Attempt attempt) {
        List<TrafficRoute> routes =
                plan.routesTo(service).stream().filter(r -> r.kind().isStream()).toList();
        if (!areDistinct(routes)) {
            return OptionalInt.empty();
        }
        int group = group(routes, attempt.route().priority());
        if (attempt.isLate()) {
            return OptionalInt.of(FIRST_LATE + group);
        }
        return OptionalInt.of(LEVELS_PER_GROUP * group + (attempt.started() ? 0 : 1));
    }

    private static boolean areDistinct(List<TrafficRoute> routes) {
        return routes.stream().mapToInt(TrafficRoute::priority).distinct().count() > 1
                || routes.stream().mapToLong(TrafficRoute::targetLatencyMs).distinct().count() > 1;
    }

    /** Returns the group of a priority; more priorities than groups share them evenly. */
    private static int group(List<TrafficRoute> routes, int priority) {
        List<Integer> priorities =
                routes.stream().map(TrafficRoute::priority).distinct().sorted().toList();
        int higher = (int) priorities.stream().filter(p -> p < priority).count();
        if (priorities.size() <= GROUPS) {
            return Math.min(higher, GROUPS - 1);
        }
        return Math.min(higher * GROUPS / priorities.size(), GROUPS - 1);
    }
}

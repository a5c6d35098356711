package io.sapphirestack.core.admission;

import io.sapphirestack.core.relay.TrafficPlan;
import java.util.List;
import java.util.OptionalInt;

/**
 * Computes how urgent the attempts of a stream are for its engine, which sees the streams of all
 * instances. Addresses engines that have more streams than memory or slots, where the streams of
 * several routes compete.
 *
 * <p>An engine preempts less urgent running streams when its memory runs out, and prefills their
 * prompts again. The urgency therefore depends on the priority only: that of the client account,
 * otherwise that of the route. Where streams that had started or were late had levels of their own,
 * they preempted or were preempted by streams of the same priority, and engines prefilled nearly
 * twice as much for nothing. Stateless.
 */
public final class StreamUrgency {

    /** Urgency of the routes of the lowest priority, the default of engines. */
    public static final int LEAST = 5;

    /** Number of groups of priorities that are distinguished. */
    static final int GROUPS = 3;

    /** Difference between the urgencies of two groups. */
    static final int STEP = 2;

    private StreamUrgency() {}

    /**
     * Returns the urgency of the attempts of a stream.
     *
     * @param plan traffic plan in force
     * @param service name of the service that the attempt is sent to
     * @param priority priority of the stream, 0 is the highest
     * @return urgency from 1, the most urgent, to 5; empty if the streams of the service do not
     *     differ in priority
     */
    public static OptionalInt of(TrafficPlan plan, String service, int priority) {
        List<Integer> priorities = plan.streamPriorities(service);
        if (priorities.size() < 2) {
            return OptionalInt.empty();
        }
        int lower = (int) priorities.stream().filter(p -> p > priority).count();
        int group = Math.min(lower * GROUPS / Math.max(GROUPS, priorities.size()), GROUPS - 1);
        return OptionalInt.of(LEAST - STEP * group);
    }
}

package io.sapphirestack.standins.demo;

import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;

/**
 * What the steps of the demonstration share.
 *
 * @param fleet processes
 * @param operator client with an operator's key
 * @param caller client with the key of a client account
 * @param executor threads for callers
 * @param clock monotonic clock
 */
record DemoWorld(
        Fleet fleet,
        SapphireClient operator,
        SapphireClient caller,
        ExecutorService executor,
        MillisClock clock) {

    private static final long START_TIMEOUT_MS = 10_000;

    /**
     * Starts generations with a shared long prefix and different ends, and waits until each has
     * some tokens.
     */
    List<CheckedGeneration> startGenerations(int count, int maxTokens, long tokensToWaitFor)
            throws FleetException {
        String history = "round history of the route; ".repeat(400);
        List<CheckedGeneration> generations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            generations.add(
                    new CheckedGeneration(history + "part " + i, 100 + i, maxTokens)
                            .start(caller, executor));
        }
        fleet.await(
                "first-tokens",
                "generations",
                START_TIMEOUT_MS,
                () -> generations.stream().allMatch(g -> g.received() >= tokensToWaitFor || g.hasFailed()));
        return generations;
    }

    /**
     * Waits for generations and returns what was wrong with the first faulty one, else an empty
     * text.
     */
    static String awaitAll(List<CheckedGeneration> generations) {
        return generations.stream()
                .map(CheckedGeneration::await)
                .filter(fault -> !fault.isEmpty())
                .findFirst()
                .orElse("");
    }

    /**
     * Returns the longest time between two tokens of any generation that was read to its end, in
     * milliseconds.
     */
    static long longestGapMs(List<CheckedGeneration> generations) {
        return generations.stream()
                .mapToLong(g -> g.result() == null ? -1 : g.result().longestGapMs())
                .max()
                .orElse(0);
    }
}

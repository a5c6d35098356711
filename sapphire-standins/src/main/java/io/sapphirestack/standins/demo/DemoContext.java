package io.sapphirestack.standins.demo;

import io.sapphirestack.client.SapphireClient;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;

/**
 * Objects that the steps of the demonstration share.
 *
 * @param fleet processes of the system
 * @param operator client with an operator's key
 * @param caller client with the key of a client account
 * @param executor runs the callers of generations and orders
 * @param clock monotonic clock
 */
record DemoContext(
        Fleet fleet,
        SapphireClient operator,
        SapphireClient caller,
        ExecutorService executor,
        MillisClock clock) {

    private static final long START_TIMEOUT_MS = 10_000;

    /**
     * Starts generations whose prompts share a long prefix, and waits until each has failed or
     * received {@code tokensToWaitFor} tokens.
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
        fleet.awaitCondition(
                "first-tokens",
                "generations",
                START_TIMEOUT_MS,
                () ->
                        generations.stream()
                                .allMatch(
                                        g ->
                                                g.receivedTokens() >= tokensToWaitFor
                                                        || g.hasFailed()));
        return generations;
    }

    /**
     * Waits for all generations and returns the first failure in their order, empty if all tokens
     * are as expected.
     */
    static String awaitFirstFailure(List<CheckedGeneration> generations) {
        return generations.stream()
                .map(CheckedGeneration::awaitFailure)
                .filter(failure -> !failure.isEmpty())
                .findFirst()
                .orElse("");
    }

    /**
     * Returns the longest time between two tokens of any generation that was read to its end, in
     * milliseconds. Generations that failed count as -1.
     */
    static long longestGapMs(List<CheckedGeneration> generations) {
        return generations.stream()
                .mapToLong(g -> g.result() == null ? -1 : g.result().longestGapMs())
                .max()
                .orElse(0);
    }

    /**
     * Returns the longest time to the first token of any generation that was read to its end, in
     * milliseconds. Generations that failed count as -1.
     */
    static long slowestFirstTokenMs(List<CheckedGeneration> generations) {
        return generations.stream()
                .mapToLong(g -> g.result() == null ? -1 : g.result().firstTokenMs())
                .max()
                .orElse(0);
    }
}

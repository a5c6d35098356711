package io.sapphirestack.standins.demo;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.standins.load.GenerationCaller;
import io.sapphirestack.standins.load.GenerationResult;
import io.sapphirestack.standins.load.GenerationSpec;
import io.sapphirestack.standins.support.AddressBook;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

/** Generations that run at the same time, each checked token by token. */
final class GenerationBatch {

    private static final long LIMIT_MS = 40_000;
    private static final String SHARED_PREFIX = "Morning briefing for every desk. ".repeat(256);

    private final List<Future<GenerationResult>> futures = new ArrayList<>();
    private final Map<String, Integer> progress = new ConcurrentHashMap<>();

    /**
     * Starts generations.
     *
     * @param executor one thread per generation
     * @param seeds addresses of instances
     * @param count number of generations
     * @param maxTokens number of tokens of each
     */
    GenerationBatch(ExecutorService executor, List<String> seeds, int count, int maxTokens) {
        for (int i = 0; i < count; i++) {
            int number = i;
            Callable<GenerationResult> task =
                    () -> {
                        MillisClock clock = MillisClock.monotonic();
                        AddressBook book =
                                new AddressBook(seeds, "az" + (1 + number % 4), number, clock);
                        GenerationSpec spec =
                                new GenerationSpec(
                                        "m1",
                                        SHARED_PREFIX + number,
                                        maxTokens,
                                        1_000L + number,
                                        UUID.randomUUID().toString());
                        return new GenerationCaller(book, DemoFleet.ACCOUNT_KEY, clock, LIMIT_MS)
                                .generate(spec, progress::put);
                    };
            futures.add(executor.submit(task));
        }
    }

    /** Returns the identifiers of the generations that have at least this many tokens. */
    List<String> beyond(int tokens) {
        return progress.entrySet().stream()
                .filter(entry -> entry.getValue() >= tokens)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Waits for all results. */
    List<GenerationResult> results() throws InterruptedException {
        List<GenerationResult> results = new ArrayList<>();
        for (Future<GenerationResult> future : futures) {
            try {
                results.add(future.get());
            } catch (ExecutionException e) {
                results.add(
                        new GenerationResult("", 0, false, e.getCause().toString(), 0, List.of()));
            }
        }
        return results;
    }

    /** Describes the results that are not whole, or counts the tokens if all are. */
    static String describe(List<GenerationResult> results) {
        List<String> problems =
                results.stream()
                        .filter(result -> !result.complete())
                        .map(result -> result.id() + ": " + result.problem())
                        .toList();
        int tokens = results.stream().mapToInt(GenerationResult::tokens).sum();
        return problems.isEmpty()
                ? results.size() + " outputs, " + tokens + " tokens checked"
                : problems.size() + " of " + results.size() + " not whole: " + problems.get(0);
    }

    static boolean allComplete(List<GenerationResult> results) {
        return results.stream().allMatch(GenerationResult::complete);
    }
}

package io.sapphirestack.standins.engine;

/**
 * Capacity, timing and simulated defects of the stand-in engine.
 *
 * @param slots streams computed at the same time, at least 1
 * @param maxQueue streams that may wait for a slot
 * @param tokenIntervalMs duration of one decode step in milliseconds, at least 1
 * @param prefillMsPerBlock time to compute one block of a prompt that is not cached, in
 *     milliseconds
 * @param cacheBlocks most prompt blocks in the prefix cache
 * @param cacheEventLagMs delay until a cache event is published, in milliseconds
 * @param cacheEventLossShare share of cache events that are never published, 0 to 1
 * @param loadLagMs age of the reported load in milliseconds
 * @param networkDelayMs delay added to every token and response, in milliseconds
 * @param outputDependsOnAttempt whether attempts with the same prompt and seed produce different
 *     outputs
 * @param fencingChecked whether an order with a fencing token lower than the highest one seen is
 *     refused
 * @param seed seed of random choices
 */
public record EngineOptions(
        int slots,
        int maxQueue,
        long tokenIntervalMs,
        long prefillMsPerBlock,
        int cacheBlocks,
        long cacheEventLagMs,
        double cacheEventLossShare,
        long loadLagMs,
        long networkDelayMs,
        boolean outputDependsOnAttempt,
        boolean fencingChecked,
        long seed) {

    /** Fast engine for tests: 4 slots, one decode step every 5 ms. */
    public static final EngineOptions FAST =
            new EngineOptions(4, 64, 5, 1, 256, 0, 0, 0, 0, false, true, 1);

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a component is out of its range
     */
    public EngineOptions {
        if (slots < 1 || maxQueue < 0 || tokenIntervalMs < 1 || cacheBlocks < 0) {
            throw new IllegalArgumentException(
                    "slots and tokenIntervalMs must be positive, sizes must not be negative");
        }
        if (prefillMsPerBlock < 0 || cacheEventLagMs < 0 || loadLagMs < 0 || networkDelayMs < 0) {
            throw new IllegalArgumentException("times must not be negative");
        }
        if (!(cacheEventLossShare >= 0 && cacheEventLossShare <= 1)) {
            throw new IllegalArgumentException("cacheEventLossShare must be between 0 and 1");
        }
    }
}

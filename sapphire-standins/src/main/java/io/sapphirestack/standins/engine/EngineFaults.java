package io.sapphirestack.standins.engine;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Faults that tests and operators inject into an engine. Thread-safe.
 *
 * <p>Token counts start at the time of injection.
 */
final class EngineFaults {

    private static final long DISABLED = Long.MAX_VALUE;

    private final Runnable exit;
    private final AtomicLong tokensUntilExit = new AtomicLong(DISABLED);
    private final AtomicLong stallAfterTokens = new AtomicLong(DISABLED);
    private volatile double slowDownFactor = 1;

    /**
     * Creates an instance without active faults.
     *
     * @param exit ends the process without cleanup
     */
    EngineFaults(Runnable exit) {
        this.exit = exit;
    }

    /** Ends the process after the given number of further tokens, counted over all streams. */
    void exitAfterTokens(long tokens) {
        tokensUntilExit.set(tokens);
    }

    /**
     * Stalls the first connection that has delivered the given number of tokens: it stays open and
     * sends no further data. Each call stalls at most one connection.
     */
    void stallOneStreamAfterTokens(long tokens) {
        stallAfterTokens.set(tokens);
    }

    /** Multiplies the duration of decode steps and prefill by a positive factor. */
    void slowDownFactor(double factor) {
        if (!(factor > 0)) {
            throw new IllegalArgumentException(
                    "slow-down factor must be positive but is " + factor);
        }
        slowDownFactor = factor;
    }

    double slowDownFactor() {
        return slowDownFactor;
    }

    void countComputedToken() {
        if (tokensUntilExit.get() != DISABLED && tokensUntilExit.decrementAndGet() <= 0) {
            exit.run();
        }
    }

    /** Returns whether the connection must stop sending, and disables the fault if so. */
    boolean shouldStall(long deliveredTokens) {
        long thresholdTokens = stallAfterTokens.get();
        return deliveredTokens >= thresholdTokens
                && stallAfterTokens.compareAndSet(thresholdTokens, DISABLED);
    }
}

package io.sapphirestack.standins.engine;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Faults that are injected on command. Thread-safe.
 *
 * <p>Token counts are counted from the command on.
 */
final class EngineFaults {

    private static final long NEVER = Long.MAX_VALUE;

    private final Runnable exit;
    private final AtomicLong tokensUntilExit = new AtomicLong(NEVER);
    private final AtomicLong silentStreamAfterTokens = new AtomicLong(NEVER);
    private volatile double slowDown = 1;

    /**
     * Creates faults, none of them active.
     *
     * @param exit ends the process without any clean-up
     */
    EngineFaults(Runnable exit) {
        this.exit = exit;
    }

    /** Ends the process after a number of further tokens over all streams. */
    void exitAfterTokens(long tokens) {
        tokensUntilExit.set(tokens);
    }

    /**
     * Makes the next connection that has delivered a number of tokens silent for ever while it
     * stays open; one connection per command.
     */
    void silenceOneStreamAfterTokens(long tokens) {
        silentStreamAfterTokens.set(tokens);
    }

    /** Multiplies the time of decode steps and prefill. */
    void slowDown(double factor) {
        if (!(factor > 0)) {
            throw new IllegalArgumentException("slowDown must be positive but is " + factor);
        }
        slowDown = factor;
    }

    double slowDown() {
        return slowDown;
    }

    void tokenComputed() {
        if (tokensUntilExit.get() != NEVER && tokensUntilExit.decrementAndGet() <= 0) {
            exit.run();
        }
    }

    /** Tells a connection to become silent; true at most once per command. */
    boolean becomesSilent(long deliveredTokens) {
        long after = silentStreamAfterTokens.get();
        return deliveredTokens >= after && silentStreamAfterTokens.compareAndSet(after, NEVER);
    }
}

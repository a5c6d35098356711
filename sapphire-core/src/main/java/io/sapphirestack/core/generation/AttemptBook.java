package io.sapphirestack.core.generation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Attempts of one generation whose tokens the owner accepts. Usually one; two while a speculative
 * attempt races against a suspected one, until either delivers a token. Not thread-safe.
 */
public final class AttemptBook {

    private final Map<Integer, AttemptRecord> admitted = new LinkedHashMap<>();
    private AttemptRecord current;
    private int lastNumber;

    /**
     * Creates a book.
     *
     * @param current current attempt as replicated, {@link AttemptRecord#NONE} before the first
     * @param lastNumber number below the first one that this owner gives out
     */
    public AttemptBook(AttemptRecord current, int lastNumber) {
        this.current = current;
        this.lastNumber = lastNumber;
        if (current.attempt() > 0) {
            admitted.put(current.attempt(), current);
        }
    }

    /**
     * Returns the number below the first attempt of an owner that took over.
     *
     * <p>Each epoch has numbers of its own. With consecutive numbers a new owner could reuse the
     * number of an attempt that the earlier owner started unknown to its replicas, and a later
     * owner could re-attach to that stream, which continues another output.
     *
     * @param epoch epoch of the owner
     * @return a multiple of 1,000 that fits an {@code int}
     */
    static int numbersOf(long epoch) {
        return (int) Math.max(1, epoch % 1_000_000) * 1_000;
    }

    /** Returns the current attempt. */
    public AttemptRecord current() {
        return current;
    }

    /** Returns the number of attempts whose tokens are accepted. */
    public int admittedCount() {
        return admitted.size();
    }

    /**
     * Starts the next attempt.
     *
     * @param endpoint name of the engine
     * @param address {@code host:port} of the engine
     * @param speculative whether earlier attempts stay admitted until one of them delivers
     * @return the new attempt
     */
    public AttemptRecord begin(String endpoint, String address, boolean speculative) {
        lastNumber++;
        AttemptRecord next =
                new AttemptRecord(
                        lastNumber,
                        endpoint,
                        address,
                        current.attempts() + 1,
                        current.recomputedTokens());
        if (!speculative || admitted.isEmpty()) {
            admitted.clear();
            current = next;
        } else {
            current =
                    new AttemptRecord(
                            current.attempt(),
                            current.endpoint(),
                            current.address(),
                            next.attempts(),
                            next.recomputedTokens());
            admitted.put(current.attempt(), current);
        }
        admitted.put(next.attempt(), next);
        return next;
    }

    /**
     * Counts tokens that an engine was given to compute again.
     *
     * @param tokens number of tokens
     */
    public void addRecomputed(long tokens) {
        current =
                new AttemptRecord(
                        current.attempt(),
                        current.endpoint(),
                        current.address(),
                        current.attempts(),
                        current.recomputedTokens() + tokens);
    }

    /**
     * Tells whether tokens of an attempt are accepted.
     *
     * @param attempt number of the attempt
     * @return whether it is admitted
     */
    public boolean admits(int attempt) {
        return admitted.containsKey(attempt);
    }

    /**
     * Makes an admitted attempt the only one, because it delivered a token.
     *
     * @param attempt number of an admitted attempt
     * @return whether another attempt lost by this and should be cancelled
     */
    public boolean settle(int attempt) {
        if (admitted.size() == 1) {
            return false;
        }
        AttemptRecord winner = withTotals(admitted.get(attempt));
        admitted.clear();
        admitted.put(attempt, winner);
        current = winner;
        return true;
    }

    /**
     * Removes an attempt that failed, unless it is the only one.
     *
     * @param attempt number of the attempt
     * @return whether another attempt is still admitted, so that no new one is needed
     */
    public boolean drop(int attempt) {
        if (!admitted.containsKey(attempt)) {
            return !admitted.isEmpty();
        }
        if (admitted.size() == 1) {
            return false;
        }
        admitted.remove(attempt);
        current = withTotals(admitted.values().iterator().next());
        return true;
    }

    private AttemptRecord withTotals(AttemptRecord record) {
        return new AttemptRecord(
                record.attempt(),
                record.endpoint(),
                record.address(),
                current.attempts(),
                current.recomputedTokens());
    }
}

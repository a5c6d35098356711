package io.sapphirestack.core.generation;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Attempts of one generation whose tokens the owner accepts. Usually there is one. While a
 * speculative attempt races against an attempt on a suspected engine there are two, until one of
 * them delivers a token. Not thread-safe.
 */
public final class AdmittedAttempts {

    private final Map<Integer, AttemptRecord> admitted = new LinkedHashMap<>();
    private AttemptRecord current;
    private int lastAttemptNumber;

    /**
     * Creates the set with the replicated attempt, if there is one.
     *
     * @param current replicated current attempt, {@link AttemptRecord#NONE} before the first
     * @param lastAttemptNumber number before that of the first attempt that this owner starts
     */
    public AdmittedAttempts(AttemptRecord current, int lastAttemptNumber) {
        this.current = current;
        this.lastAttemptNumber = lastAttemptNumber;
        if (current.attempt() > 0) {
            admitted.put(current.attempt(), current);
        }
    }

    /**
     * Returns the number before that of the first attempt of an owner that took over.
     *
     * <p>Each epoch has its own range of numbers. With consecutive numbers across epochs, a new
     * owner could reuse the number of an attempt that the previous owner started but had not yet
     * replicated. A later owner could then re-attach to that stream, which continues a different
     * output.
     *
     * @param epoch epoch of the owner
     * @return multiple of 1,000 that fits in an {@code int}
     */
    static int baseAttemptNumber(long epoch) {
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
     * @param endpoint endpoint identifier of the engine
     * @param address {@code host:port} of the engine
     * @param speculative whether earlier attempts stay admitted until an attempt delivers a token
     * @return the new attempt
     */
    public AttemptRecord begin(String endpoint, String address, boolean speculative) {
        lastAttemptNumber++;
        AttemptRecord next =
                new AttemptRecord(
                        lastAttemptNumber,
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
     * Adds to the number of tokens that engines had to compute again.
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
     * Returns whether tokens of an attempt are accepted.
     *
     * @param attempt number of the attempt
     * @return whether the attempt is admitted
     */
    public boolean isAdmitted(int attempt) {
        return admitted.containsKey(attempt);
    }

    /**
     * Makes an attempt that delivered a token the only admitted one.
     *
     * @param attempt number of an admitted attempt
     * @return whether another attempt was removed and should be cancelled
     */
    public boolean retainOnly(int attempt) {
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
     * Removes a failed attempt, unless it is the only admitted one.
     *
     * @param attempt number of the attempt
     * @return whether another attempt is admitted, so that no new one is needed
     */
    public boolean remove(int attempt) {
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

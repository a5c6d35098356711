package io.sapphirestack.runtime.generation;

/**
 * Receives the measurements of the generation service. Implementations must be thread-safe and
 * fast, because they are called for each token.
 */
public interface GenerationMetrics {

    /** Reason for starting an attempt. */
    enum AttemptReason {
        /** First attempt of the generation. */
        FIRST,
        /** The engine closed or refused the connection, or did not know the stream. */
        RESET,
        /** The engine sent no data on the stream and did not respond to a probe. */
        SUSPECTED,
        /** The engine sent keep-alives but no tokens. */
        STALLED,
        /** The engine refused the attempt without executing it. */
        REFUSED,
        /** This instance took over the generation and could not attach to the running attempt. */
        TAKEOVER
    }

    /**
     * Counts an attempt.
     *
     * @param reason reason for starting it
     */
    void recordAttempt(AttemptReason reason);

    /**
     * Counts a re-attachment to a running stream, which needs no recomputed tokens.
     *
     * @param afterTakeover whether it follows a change of owner
     */
    void recordReattachment(boolean afterTakeover);

    /**
     * Records how long the output of a generation was interrupted.
     *
     * @param latencyMs time from the last data before the failure to the next token, in
     *     milliseconds
     */
    void recordResume(long latencyMs);

    /**
     * Counts tokens in the prefix of a new attempt, which the engine has to compute again.
     *
     * @param tokens number of tokens
     */
    void recordRecomputedTokens(long tokens);

    /**
     * Counts tokens that were committed while this instance was the owner.
     *
     * @param tokens number of tokens
     */
    void recordCommittedTokens(long tokens);

    /**
     * Counts a generation of which this instance became the owner after the previous owner failed.
     */
    void recordTakeover();
}

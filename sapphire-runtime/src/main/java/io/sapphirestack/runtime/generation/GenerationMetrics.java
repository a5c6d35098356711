package io.sapphirestack.runtime.generation;

/** Counters of the generation path. Thread-safe; called on the token path, so cheap. */
public interface GenerationMetrics {

    /** Why an attempt was started. */
    enum AttemptReason {
        /** First attempt of the generation. */
        FIRST,
        /** The engine closed or refused the connection, or did not know the stream. */
        RESET,
        /** The engine answered neither its stream nor a probe. */
        SUSPECTED,
        /** The engine sent keep-alives but no tokens. */
        STALLED,
        /** The engine refused the attempt as not run. */
        REFUSED,
        /** This instance took the generation over and could not re-attach. */
        TAKEOVER
    }

    /**
     * Counts an attempt.
     *
     * @param reason why it was started
     */
    void recordAttempt(AttemptReason reason);

    /**
     * Counts a re-attachment to a running stream, which computes nothing again.
     *
     * @param afterTakeover whether it follows a change of the owner
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
     * Counts tokens that an engine was given to compute again.
     *
     * @param tokens number of tokens
     */
    void recordRecomputedTokens(long tokens);

    /**
     * Counts committed tokens at the owner.
     *
     * @param tokens number of tokens
     */
    void recordCommittedTokens(long tokens);

    /** Counts a generation that this instance took over. */
    void recordTakeover();
}

package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;

/**
 * Operations on generations that the HTTP interface of every instance offers, whichever instance
 * holds the generation. Thread-safe; calls block.
 */
public interface GenerationService {

    /**
     * Accepts a generation. When this method returns, the generation is recorded on instances in
     * two availability zones and will finish.
     *
     * @param request what to generate
     * @return identifier of the new generation, or of the existing one if the idempotency key was
     *     used before
     * @throws RefusedException if the request was not accepted. With the execution state {@code
     *     UNKNOWN} the generation may exist and run
     */
    GenerationId accept(GenerationRequest request) throws RefusedException;

    /**
     * Reads committed tokens.
     *
     * @param id identifier
     * @param account client account of the caller; generations of other accounts are reported as
     *     not found
     * @param fromOffset offset of the first token to return
     * @param waitMs longest time to wait for a token, in milliseconds; 0 for no wait
     * @return tokens from {@code fromOffset}, possibly none
     * @throws RefusedException if the generation is unknown or lost, no holder can be reached, or
     *     the offset lies beyond the output
     */
    TokenBatch fetch(GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException;

    /**
     * Returns the progress of a generation.
     *
     * @param id identifier
     * @param account client account of the caller
     * @return progress
     * @throws RefusedException if the generation is unknown or lost, or no holder can be reached
     */
    GenerationStatus status(GenerationId id, AccountId account) throws RefusedException;

    /**
     * Cancels a generation. No-op if it has finished.
     *
     * @param id identifier
     * @param account client account of the caller
     * @throws RefusedException if the generation is unknown or lost, or no holder can be reached
     */
    void cancel(GenerationId id, AccountId account) throws RefusedException;

    /**
     * Returns the number of running generations that this instance owns. A planned stop waits until
     * it is 0.
     */
    int countOwnedRunning();
}

package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;

/** Generations as seen by the HTTP interface of any instance. Thread-safe; calls block. */
public interface GenerationService {

    /**
     * Accepts a generation: when this returns, it is recorded on instances in two availability
     * zones and will finish.
     *
     * @param request what to generate
     * @return identifier of the new generation, or of the existing one for a repeated idempotency
     *     key
     * @throws RefusedException if it was not accepted; nothing runs
     */
    GenerationId accept(GenerationRequest request) throws RefusedException;

    /**
     * Reads committed tokens, wherever the generation is held.
     *
     * @param id identifier
     * @param account client account that asks; other accounts' generations are reported as not
     *     found
     * @param fromOffset offset of the first token wanted
     * @param waitMs longest time to wait for a token, in milliseconds
     * @return tokens from {@code fromOffset} on, possibly none
     * @throws RefusedException if the generation is unknown, lost or cannot be reached, or the
     *     offset lies beyond what was committed
     */
    TokenBatch fetch(GenerationId id, AccountId account, long fromOffset, long waitMs)
            throws RefusedException;

    /**
     * Returns the progress of a generation, wherever it is held.
     *
     * @param id identifier
     * @param account client account that asks
     * @return progress
     * @throws RefusedException if the generation is unknown, lost or cannot be reached
     */
    GenerationStatus status(GenerationId id, AccountId account) throws RefusedException;

    /**
     * Cancels a generation, wherever it is held.
     *
     * @param id identifier
     * @param account client account that asks
     * @throws RefusedException if the generation is unknown, lost or cannot be reached
     */
    void cancel(GenerationId id, AccountId account) throws RefusedException;

    /**
     * Returns the number of running generations that this instance owns; a planned stop waits until
     * it is 0.
     */
    int countOwnedRunning();
}

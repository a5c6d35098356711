package io.sapphirestack.runtime.generation;

import java.util.List;

/**
 * Committed tokens of a generation.
 *
 * @param fromOffset offset of the first token
 * @param tokens texts of the tokens in order; empty if none was committed in time
 * @param phase stage of the generation when the batch was read; in the stages other than {@code
 *     RUNNING}, further tokens follow in later batches unless {@code complete} is set
 * @param complete whether no token follows after this batch
 * @param finishReason reason why the output ended, such as {@code stop} or {@code length}; empty
 *     while running
 */
public record TokenBatch(
        long fromOffset,
        List<String> tokens,
        GenerationPhase phase,
        boolean complete,
        String finishReason) {

    /** Copies the list. */
    public TokenBatch {
        tokens = List.copyOf(tokens);
    }
}

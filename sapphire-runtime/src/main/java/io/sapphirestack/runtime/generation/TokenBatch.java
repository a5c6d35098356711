package io.sapphirestack.runtime.generation;

import java.util.List;

/**
 * Successive committed tokens of a generation. A committed token is replicated and does not change.
 *
 * @param fromOffset offset of the first token in the output, in tokens from 0
 * @param tokens texts of the tokens in order; empty if none was committed before the read timed
 *     out, or if the output ends at {@code fromOffset}
 * @param phase stage of the generation when the batch was read. A stage other than {@code RUNNING}
 *     does not mean that this is the last batch; see {@code complete}
 * @param complete whether this batch reaches the end of the output, so that no further batch
 *     follows
 * @param finishReason reason why the output ended, such as {@code stop} or {@code length}; empty if
 *     the phase is {@code RUNNING}
 */
public record TokenBatch(
        long fromOffset,
        List<String> tokens,
        GenerationPhase phase,
        boolean complete,
        String finishReason) {

    /** Makes an immutable copy of the tokens. */
    public TokenBatch {
        tokens = List.copyOf(tokens);
    }
}

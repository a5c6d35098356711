package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelPin;

/**
 * Progress of a generation.
 *
 * @param id identifier
 * @param phase stage
 * @param pin model, adapter and version
 * @param committedTokens number of tokens that can be read
 * @param attempts number of attempts started so far
 * @param recomputedTokens number of tokens that engines had to compute again after a failure
 * @param finishReason reason why the output ended; empty while running
 */
public record GenerationStatus(
        GenerationId id,
        GenerationPhase phase,
        ModelPin pin,
        long committedTokens,
        int attempts,
        long recomputedTokens,
        String finishReason) {}

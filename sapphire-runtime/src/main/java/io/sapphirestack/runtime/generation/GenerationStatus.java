package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelPin;

/**
 * Progress of a generation.
 *
 * @param id identifier
 * @param phase stage
 * @param pin model variant
 * @param committedTokens tokens that can be read
 * @param attempts attempts on engines so far
 * @param recomputedTokens tokens that engines computed again after a loss
 * @param finishReason why the output ended, empty while running
 */
public record GenerationStatus(
        GenerationId id,
        GenerationPhase phase,
        ModelPin pin,
        long committedTokens,
        int attempts,
        long recomputedTokens,
        String finishReason) {}

package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.AccountId;
import java.util.Objects;
import java.util.Optional;

/**
 * Authenticated request for a generation.
 *
 * @param account client account
 * @param model name of a {@code model} record
 * @param prompt prompt text
 * @param maxTokens maximum number of tokens to generate, positive
 * @param seed sampling seed
 * @param idempotencyKey key under which a resent request returns the same generation, if any
 */
public record GenerationRequest(
        AccountId account,
        String model,
        String prompt,
        int maxTokens,
        long seed,
        Optional<String> idempotencyKey) {

    /** Checks that no reference is {@code null} and that {@code maxTokens} is positive. */
    public GenerationRequest {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        if (maxTokens <= 0) {
            throw new IllegalArgumentException("maxTokens must be positive but is " + maxTokens);
        }
    }
}

package io.sapphirestack.standins.load;

/**
 * Request for a generation at {@code POST /v1/completions}.
 *
 * @param model name of the model record
 * @param prompt prompt text
 * @param maxTokens number of tokens to generate
 * @param seed sampling seed
 * @param idempotencyKey key by which a retried request attaches to the same generation
 */
public record CompletionRequest(
        String model, String prompt, int maxTokens, long seed, String idempotencyKey) {}

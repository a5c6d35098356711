package io.sapphirestack.standins.engine;

import io.sapphirestack.core.record.ModelPin;
import java.util.List;
import java.util.Objects;

/**
 * Request for one attempt of a generation, as the HTTP interface receives it.
 *
 * @param generation identifier of the generation
 * @param attempt number of the attempt, positive
 * @param model variant that must be loaded
 * @param seed sampling seed
 * @param prompt prompt text
 * @param prefix tokens that earlier attempts have produced; {@code null} means none
 * @param maxTokens length of the whole output, including the prefix, in tokens
 * @param priority 0 (lowest) to 9
 */
record StreamRequest(
        String generation,
        int attempt,
        ModelPin model,
        long seed,
        String prompt,
        List<String> prefix,
        int maxTokens,
        int priority) {

    StreamRequest {
        Objects.requireNonNull(generation, "generation");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(prompt, "prompt");
        prefix = prefix == null ? List.of() : List.copyOf(prefix);
        if (attempt < 1 || maxTokens < prefix.size()) {
            throw new IllegalArgumentException(
                    "attempt must be positive and maxTokens at least the length of the prefix");
        }
    }
}

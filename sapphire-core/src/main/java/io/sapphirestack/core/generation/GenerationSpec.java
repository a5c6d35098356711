package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;

/**
 * Immutable request and pinned values of a generation.
 *
 * @param id identifier
 * @param account client account
 * @param service engine service
 * @param model model name in the caller's request
 * @param pin exact model variant
 * @param prompt prompt text
 * @param maxTokens maximum number of tokens in the output, positive
 * @param seed sampling seed
 * @param idempotencyKey idempotency key, empty for none
 * @param bodyHash hash of the request body, to detect an idempotency key that is reused with
 *     another body
 */
public record GenerationSpec(
        GenerationId id,
        AccountId account,
        String service,
        String model,
        ModelPin pin,
        String prompt,
        int maxTokens,
        long seed,
        String idempotencyKey,
        String bodyHash) {

    /** Checks the components for {@code null}. */
    public GenerationSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(pin, "pin");
        Objects.requireNonNull(prompt, "prompt");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(bodyHash, "bodyHash");
    }
}

package io.sapphirestack.core.generation;

import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.GenerationId;
import io.sapphirestack.core.record.ModelPin;
import java.util.Objects;

/**
 * Request and pinned values of a generation; never changes.
 *
 * @param id identifier
 * @param account client account
 * @param service engine service
 * @param model model name that the caller used
 * @param pin exact model variant
 * @param prompt prompt text
 * @param maxTokens most tokens, positive
 * @param seed sampling seed
 * @param idempotencyKey idempotency key, or empty for none
 * @param bodyHash hash of the request body, to detect a reused key
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

    /** Checks the components. */
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

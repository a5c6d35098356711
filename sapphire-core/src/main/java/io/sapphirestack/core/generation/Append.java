package io.sapphirestack.core.generation;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.sapphirestack.core.id.GenerationId;
import java.util.List;
import java.util.Objects;

/**
 * Entries of one generation from its owner to a replica.
 *
 * @param generation identifier
 * @param epoch epoch of the owner
 * @param header state beside the output, or {@code null} if the replica has acknowledged it
 * @param fromOffset offset of the first entry
 * @param tokens tokens from that offset on
 * @param finishReason reason of the end marker after the tokens, or empty without it
 * @param committedOffset entries that every live member has acknowledged
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Append(
        GenerationId generation,
        long epoch,
        CopyHeader header,
        long fromOffset,
        List<String> tokens,
        String finishReason,
        long committedOffset) {

    /** Copies the list. */
    public Append {
        Objects.requireNonNull(generation, "generation");
        tokens = List.copyOf(tokens);
        Objects.requireNonNull(finishReason, "finishReason");
    }
}

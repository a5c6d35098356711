package io.sapphirestack.core.generation;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.sapphirestack.core.id.GenerationId;
import java.util.List;
import java.util.Objects;

/**
 * Replication message with log entries of one generation, sent by its owner to a replica.
 *
 * @param generation identifier
 * @param epoch epoch of the owner
 * @param header replicated state other than the output, or {@code null} if the replica has
 *     acknowledged the current version
 * @param fromOffset offset of the first entry
 * @param tokens tokens from that offset on
 * @param finishReason finish reason if the end marker follows the tokens, otherwise empty
 * @param committedOffset number of entries that every live member has acknowledged
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record GenerationAppend(
        GenerationId generation,
        long epoch,
        GenerationHeader header,
        long fromOffset,
        List<String> tokens,
        String finishReason,
        long committedOffset) {

    /** Copies the list of tokens and checks for {@code null}. */
    public GenerationAppend {
        Objects.requireNonNull(generation, "generation");
        tokens = List.copyOf(tokens);
        Objects.requireNonNull(finishReason, "finishReason");
    }
}

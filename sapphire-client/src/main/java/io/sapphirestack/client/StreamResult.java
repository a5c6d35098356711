package io.sapphirestack.client;

/**
 * Summary of a generation that was read to its end.
 *
 * @param generationId identifier of the generation
 * @param nextOffset number of tokens of the complete output
 * @param finishReason reason for the end of the output, such as {@code length}
 * @param continuations number of connections after the first one
 * @param firstTokenMs time from the request to the first token, in milliseconds; -1 if no token was
 *     read
 * @param longestGapMs longest time between two successive tokens, in milliseconds
 */
public record StreamResult(
        String generationId,
        long nextOffset,
        String finishReason,
        int continuations,
        long firstTokenMs,
        long longestGapMs) {}

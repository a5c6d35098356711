package io.sapphirestack.client;

/**
 * How a generation that was read to its end went.
 *
 * @param generationId identifier
 * @param nextOffset number of tokens of the whole output
 * @param finishReason why the output ended
 * @param continuations how often the stream was continued after a break
 * @param firstTokenMs time from the request to the first token, in milliseconds; -1 without tokens
 * @param longestGapMs longest time between two tokens, in milliseconds
 */
public record StreamResult(
        String generationId,
        long nextOffset,
        String finishReason,
        int continuations,
        long firstTokenMs,
        long longestGapMs) {}

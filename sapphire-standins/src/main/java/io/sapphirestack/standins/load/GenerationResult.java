package io.sapphirestack.standins.load;

import java.util.List;

/**
 * Result of one generation as received by a client.
 *
 * @param generationId identifier, empty if the request was refused
 * @param tokenCount number of tokens received with the expected offset and text
 * @param complete whether all requested tokens were received
 * @param failure refusal code or description of the error, empty if the generation is complete
 * @param continuations number of times the stream was continued after an interruption
 * @param arrivalTimesMs arrival time of each token on the monotonic clock, in milliseconds
 */
public record GenerationResult(
        String generationId,
        int tokenCount,
        boolean complete,
        String failure,
        int continuations,
        List<Long> arrivalTimesMs) {

    /**
     * Returns the longest time between two tokens, of those gaps that start within a period.
     *
     * @param fromMs start of the period, inclusive
     * @param untilMs end of the period, exclusive
     * @return longest gap in milliseconds, 0 if no gap starts within the period
     */
    public long longestGapMs(long fromMs, long untilMs) {
        long longest = 0;
        for (int i = 1; i < arrivalTimesMs.size(); i++) {
            if (arrivalTimesMs.get(i - 1) >= fromMs && arrivalTimesMs.get(i - 1) < untilMs) {
                longest = Math.max(longest, arrivalTimesMs.get(i) - arrivalTimesMs.get(i - 1));
            }
        }
        return longest;
    }
}

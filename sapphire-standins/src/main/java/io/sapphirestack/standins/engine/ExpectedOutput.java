package io.sapphirestack.standins.engine;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Deterministic output of the stand-in engine. It is a function of the prompt, the sampling seed
 * and the offset, so that every caller can check every token. Immutable.
 */
public final class ExpectedOutput {

    // Some tokens need escaping in JSON or more than one byte in UTF-8, so that encoding errors
    // become visible.
    private static final String[] SUFFIXES = {" ", " ", " ", " ", " ", " ", "\n", "\u00e9 "};

    private final long promptHash;
    private final long seed;

    private ExpectedOutput(long promptHash, long seed) {
        this.promptHash = promptHash;
        this.seed = seed;
    }

    /**
     * Returns the output for a request.
     *
     * @param prompt prompt text
     * @param seed sampling seed
     * @return its output
     */
    public static ExpectedOutput of(String prompt, long seed) {
        return new ExpectedOutput(Hashing.xxh3_64().hashCharsToLong(prompt), seed);
    }

    /**
     * Returns a token.
     *
     * @param offset offset in the output, starting at 0
     * @return text of the token
     */
    public String token(long offset) {
        return tokenOfAttempt(offset, 0);
    }

    /**
     * Returns a token of an engine whose output differs between attempts, as with sampling without
     * a fixed seed. Such tokens reveal responses that mix attempts.
     *
     * @param offset offset in the output, starting at 0
     * @param attempt number of the attempt; 0 gives the output that is the same for all attempts
     * @return text of the token
     */
    public String tokenOfAttempt(long offset, int attempt) {
        long hash =
                Hashing.xxh3_64()
                        .hashStream()
                        .putLong(promptHash)
                        .putLong(seed)
                        .putLong(offset)
                        .putInt(attempt)
                        .getAsLong();
        String word = Long.toUnsignedString(hash >>> 16, 36);
        return word.substring(0, Math.min(6, word.length())) + SUFFIXES[(int) (hash & 7)];
    }

    /**
     * Returns the whole output.
     *
     * @param maxTokens number of tokens
     * @return concatenated tokens
     */
    public String text(int maxTokens) {
        StringBuilder text = new StringBuilder();
        for (int offset = 0; offset < maxTokens; offset++) {
            text.append(token(offset));
        }
        return text.toString();
    }
}

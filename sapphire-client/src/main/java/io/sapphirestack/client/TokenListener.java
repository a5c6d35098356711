package io.sapphirestack.client;

/**
 * Receives the tokens of a generation, in order and without gaps, on the thread that reads the
 * stream.
 */
@FunctionalInterface
public interface TokenListener {

    /**
     * Receives one token.
     *
     * @param generationId identifier of the generation
     * @param offset offset of the token
     * @param text text of the token
     */
    void onToken(String generationId, long offset, String text);
}

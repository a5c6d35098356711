package io.sapphirestack.client;

import java.util.List;

/**
 * Options of a client.
 *
 * @param seedAddresses addresses to ask first, each {@code host:port}; not empty
 * @param bearerKey key of a client account or operator, empty for none
 * @param timeoutMs longest time for a call with all its retries, in milliseconds
 * @param silenceMs silence on a stream after which it is continued elsewhere, in milliseconds
 */
public record ClientOptions(
        List<String> seedAddresses, String bearerKey, long timeoutMs, int silenceMs) {

    /**
     * Silence after which a stream counts as lost: four keep-alive periods of an instance, in
     * milliseconds.
     */
    public static final int DEFAULT_STREAM_READ_TIMEOUT_MS = 2_000;

    /** Checks the components. */
    public ClientOptions {
        seedAddresses = List.copyOf(seedAddresses);
        if (seedAddresses.isEmpty()) {
            throw new IllegalArgumentException("at least one address is needed");
        }
        if (timeoutMs <= 0 || silenceMs <= 0) {
            throw new IllegalArgumentException("times must be positive");
        }
    }
}

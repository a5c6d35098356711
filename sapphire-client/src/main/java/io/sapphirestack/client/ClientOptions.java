package io.sapphirestack.client;

import java.util.List;

/**
 * Options of a client.
 *
 * @param seedAddresses addresses to contact first, each {@code host:port}; not empty
 * @param bearerKey key of a client account or operator, empty for none
 * @param timeoutMs timeout of a call including its retries, in milliseconds; positive
 * @param streamReadTimeoutMs time without data on a stream after which it is continued at another
 *     address, in milliseconds; positive
 */
public record ClientOptions(
        List<String> seedAddresses, String bearerKey, long timeoutMs, int streamReadTimeoutMs) {

    /**
     * Default read timeout of a stream, in milliseconds: four keep-alive periods of an instance.
     */
    public static final int DEFAULT_STREAM_READ_TIMEOUT_MS = 2_000;

    /** Checks the components. */
    public ClientOptions {
        seedAddresses = List.copyOf(seedAddresses);
        if (seedAddresses.isEmpty()) {
            throw new IllegalArgumentException("seedAddresses must not be empty");
        }
        if (timeoutMs <= 0 || streamReadTimeoutMs <= 0) {
            throw new IllegalArgumentException(
                    "timeoutMs and streamReadTimeoutMs must be positive");
        }
    }
}

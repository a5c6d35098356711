package io.sapphirestack.runtime.http;

import java.util.Objects;

/**
 * Address and limits of the HTTP interface.
 *
 * @param listenAddress {@code host:port}; port 0 chooses a free one
 * @param maxConnections open connections; further ones are closed at once
 * @param maxStreams requests that deliver or wait for generations at a time; below {@code
 *     maxConnections}, so that reads always find a connection
 * @param maxReads reads at a time
 * @param maxOrders orders at a time
 * @param maxBodyBytes size of a request body in bytes
 */
public record HttpSettings(
        String listenAddress,
        int maxConnections,
        int maxStreams,
        int maxReads,
        int maxOrders,
        int maxBodyBytes) {

    /** Largest header block in bytes. */
    public static final int MAX_HEADER_BYTES = 16 * 1024;

    /** Checks the components. */
    public HttpSettings {
        Objects.requireNonNull(listenAddress, "listenAddress");
        if (maxStreams <= 0 || maxReads <= 0 || maxOrders <= 0 || maxBodyBytes <= 0) {
            throw new IllegalArgumentException("limits must be positive");
        }
        if (maxConnections <= maxStreams) {
            throw new IllegalArgumentException("maxConnections must be above maxStreams");
        }
    }

    /**
     * Returns settings with the default limits.
     *
     * @param listenAddress {@code host:port}
     * @return settings
     */
    public static HttpSettings withDefaults(String listenAddress) {
        return new HttpSettings(listenAddress, 1_024, 512, 256, 256, 4 * 1024 * 1024);
    }
}

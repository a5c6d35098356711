package io.sapphirestack.runtime.http;

import java.util.Objects;

/**
 * Address and limits of the HTTP interface.
 *
 * @param listenAddress {@code host:port}; port 0 selects a free port
 * @param maxConnections maximum number of open connections; further ones are closed immediately
 * @param maxStreams maximum number of concurrent requests that deliver or wait for generations;
 *     less than {@code maxConnections}, so that connections remain for reads
 * @param maxReads maximum number of concurrent reads
 * @param maxOrders maximum number of concurrent orders
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record HttpSettings(
        String listenAddress,
        int maxConnections,
        int maxStreams,
        int maxReads,
        int maxOrders,
        int maxBodyBytes) {

    /** Maximum size of the request line and headers in bytes. */
    public static final int MAX_HEADER_BYTES = 16 * 1024;

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if a limit is not positive, or {@code maxConnections} is not
     *     greater than {@code maxStreams}
     */
    public HttpSettings {
        Objects.requireNonNull(listenAddress, "listenAddress");
        if (maxStreams <= 0 || maxReads <= 0 || maxOrders <= 0 || maxBodyBytes <= 0) {
            throw new IllegalArgumentException(
                    "maxStreams, maxReads, maxOrders and maxBodyBytes must be positive");
        }
        if (maxConnections <= maxStreams) {
            throw new IllegalArgumentException("maxConnections must be greater than maxStreams");
        }
    }

    /**
     * Returns settings with the default limits.
     *
     * @param listenAddress {@code host:port}; port 0 selects a free port
     * @return settings with default limits
     */
    public static HttpSettings withDefaults(String listenAddress) {
        return new HttpSettings(listenAddress, 1_024, 512, 256, 256, 4 * 1024 * 1024);
    }
}

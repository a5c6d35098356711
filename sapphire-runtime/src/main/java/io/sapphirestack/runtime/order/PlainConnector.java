package io.sapphirestack.runtime.order;

import io.sapphirestack.runtime.endpoint.EndpointException;

/** Opens connections to plain services. Implementations are thread-safe. */
@FunctionalInterface
public interface PlainConnector {

    /**
     * Connects; no byte of a request is written.
     *
     * @param address {@code host:port}
     * @param connectTimeoutMs timeout of the connect in milliseconds, positive
     * @param readTimeoutMs longest silence while receiving, in milliseconds, positive
     * @return an open connection
     * @throws EndpointException if the connection could not be made
     */
    PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException;
}

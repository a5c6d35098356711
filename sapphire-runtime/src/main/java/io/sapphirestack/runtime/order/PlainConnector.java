package io.sapphirestack.runtime.order;

import io.sapphirestack.runtime.endpoint.EndpointException;

/** Opens connections to endpoints of plain services. Implementations are thread-safe. */
@FunctionalInterface
public interface PlainConnector {

    /**
     * Opens a connection without sending any byte of a request.
     *
     * @param address address of the endpoint as {@code host:port}
     * @param connectTimeoutMs connect timeout in milliseconds, positive
     * @param readTimeoutMs read timeout in milliseconds: the maximum time without data while
     *     receiving, positive
     * @return an open connection
     * @throws EndpointException if the connection could not be established
     */
    PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException;
}

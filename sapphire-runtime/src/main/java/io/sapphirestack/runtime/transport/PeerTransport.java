package io.sapphirestack.runtime.transport;

import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to other instances. Thread-safe. Requests to one address are sent in the order of
 * the calls; replies may arrive in any order. A call to the own address is served locally.
 */
public interface PeerTransport {

    /**
     * Sends a request.
     *
     * @param address {@code host:port} of the peer
     * @param request what to ask
     * @param timeoutMs time after which the call fails, in milliseconds
     * @param <R> type of the reply
     * @return the reply, or a failure with {@link TransportException}; a failed call may have been
     *     executed unless {@link TransportException#sent()} is false
     */
    <R> CompletableFuture<R> call(String address, PeerRequest<R> request, long timeoutMs);
}

package io.sapphirestack.runtime.transport;

import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to other instances. Thread-safe. Requests to one address are sent in the order of
 * the calls; replies may arrive in any order. A call to this instance's own address is handled
 * locally.
 */
public interface PeerTransport {

    /**
     * Sends a request.
     *
     * @param address {@code host:port} of the peer
     * @param request request to send, annotated with {@link PeerMessage}
     * @param timeoutMs time in milliseconds after which the call fails, positive
     * @param <R> type of the reply
     * @return future of the reply; it fails with a {@link TransportException}. The peer may have
     *     executed a failed call unless {@link TransportException#maybeSent()} is false
     */
    <R> CompletableFuture<R> call(String address, PeerRequest<R> request, long timeoutMs);
}

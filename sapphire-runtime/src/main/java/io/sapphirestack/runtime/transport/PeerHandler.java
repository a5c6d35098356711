package io.sapphirestack.runtime.transport;

import java.util.concurrent.CompletableFuture;

/**
 * Handles one type of request. Called on a handler thread of the transport. Requests of the same
 * type on the same connection wait until the call returns, so a handler with a long operation
 * should return at once and complete the future later.
 *
 * @param <Q> type of the request
 * @param <R> type of the reply
 */
@FunctionalInterface
public interface PeerHandler<Q extends PeerRequest<R>, R> {

    /**
     * Handles a request.
     *
     * @param request request of the peer
     * @return future of the reply, not {@code null}; a failure is sent to the peer as an error
     */
    CompletableFuture<R> handle(Q request);
}

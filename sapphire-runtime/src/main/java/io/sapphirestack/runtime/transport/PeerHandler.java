package io.sapphirestack.runtime.transport;

import java.util.concurrent.CompletableFuture;

/**
 * Serves one type of request. Called on a transport thread, so it must not block; long work
 * completes the future later.
 *
 * @param <Q> type of the request
 * @param <R> type of the reply
 */
@FunctionalInterface
public interface PeerHandler<Q extends PeerRequest<R>, R> {

    /**
     * Serves a request.
     *
     * @param request what the peer asks
     * @return the reply; a failure is sent to the peer as an error
     */
    CompletableFuture<R> handle(Q request);
}

package io.sapphirestack.runtime.transport;

/** Registry of request handlers. Handlers are registered before the server starts. */
public interface PeerHandlerRegistry {

    /**
     * Registers the handler of a request type.
     *
     * @param type request type, annotated with {@link PeerMessage}
     * @param handler handler of the requests
     * @param <Q> type of the request
     * @param <R> type of the reply
     * @throws IllegalStateException if a handler is already registered for the code of the type
     */
    <Q extends PeerRequest<R>, R> void register(Class<Q> type, PeerHandler<Q, R> handler);
}

package io.sapphirestack.runtime.transport;

/** Registry of request handlers; filled before the transport starts. */
public interface PeerHandlerRegistry {

    /**
     * Registers the handler of a request type.
     *
     * @param type request type, annotated with {@link PeerMessage}
     * @param handler serves the requests
     * @param <Q> type of the request
     * @param <R> type of the reply
     * @throws IllegalStateException if the type or its code is registered already
     */
    <Q extends PeerRequest<R>, R> void register(Class<Q> type, PeerHandler<Q, R> handler);
}

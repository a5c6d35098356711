package io.sapphirestack.runtime.transport;

/**
 * Request to another instance; implementations are records annotated with {@link PeerMessage}.
 *
 * @param <R> type of the reply
 */
public interface PeerRequest<R> {}

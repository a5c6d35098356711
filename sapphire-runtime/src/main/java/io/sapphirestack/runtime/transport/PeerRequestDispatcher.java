package io.sapphirestack.runtime.transport;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Dispatches requests to their handlers by message code, both requests of other instances and calls
 * of this instance to its own address. Thread-safe.
 */
public final class PeerRequestDispatcher implements PeerHandlerRegistry {

    private final Map<Integer, HandlerEntry<?, ?>> byCode = new ConcurrentHashMap<>();

    private record HandlerEntry<Q extends PeerRequest<R>, R>(
            Class<Q> type, PeerHandler<Q, R> handler) {

        CompletableFuture<R> handle(Object request) {
            CompletableFuture<R> reply = handler.handle(type.cast(request));
            return Objects.requireNonNull(reply, "the handler returned null instead of a future");
        }

        CompletableFuture<R> decodeAndHandle(PeerFrame frame, String peer)
                throws TransportException {
            return handle(PeerCodec.SHARED.decodeBody(frame.body(), type, peer));
        }
    }

    @Override
    public <Q extends PeerRequest<R>, R> void register(Class<Q> type, PeerHandler<Q, R> handler) {
        Objects.requireNonNull(handler, "handler");
        PeerMessage message = annotationOf(type);
        if (byCode.putIfAbsent(message.code(), new HandlerEntry<>(type, handler)) != null) {
            throw new IllegalStateException(
                    "message code "
                            + message.code()
                            + " already has a handler; cannot register "
                            + type);
        }
    }

    static PeerMessage annotationOf(Class<?> type) {
        PeerMessage message = type.getAnnotation(PeerMessage.class);
        if (message == null) {
            throw new IllegalArgumentException(type + " is not annotated with @PeerMessage");
        }
        return message;
    }

    /** Handles a request that another instance sent in a frame. */
    CompletableFuture<?> handle(PeerFrame frame, String peer) {
        HandlerEntry<?, ?> entry = byCode.get(frame.typeCode());
        if (entry == null) {
            return CompletableFuture.failedFuture(noHandler(frame.typeCode(), peer));
        }
        try {
            return entry.decodeAndHandle(frame, peer);
        } catch (TransportException | RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Handles a request of this instance to its own address. */
    CompletableFuture<?> handleLocal(Object request, int code, String address) {
        HandlerEntry<?, ?> entry = byCode.get(code);
        if (entry == null) {
            return CompletableFuture.failedFuture(noHandler(code, address));
        }
        try {
            return entry.handle(request);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static TransportException noHandler(int code, String peer) {
        return new TransportException(
                "dispatch", peer, "no handler is registered for message code " + code, false, null);
    }
}

package io.sapphirestack.runtime.transport;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends requests over one TCP connection per peer address. A connection is opened by the first
 * call, and again by the next call after it was closed. Thread-safe.
 *
 * <p>Futures of calls to other instances complete on handler threads, so a blocking dependent
 * action does not delay a connection.
 */
public final class TcpPeerTransport implements PeerTransport {

    private final PeerEventLoop loop;
    private final String ownAddress;
    private final PeerHandshake handshake;
    private final PeerRequestDispatcher handlers;
    private final PerTypeExecutor localExecutor;
    private final AtomicLong requestIds = new AtomicLong();
    // Accessed on the thread of the loop only.
    private final Map<String, OutboundChannel> channels = new HashMap<>();

    /**
     * Creates a transport.
     *
     * @param loop event loop of all peer connections
     * @param ownAddress address of this instance; calls to it are handled locally by {@code
     *     handlers}
     * @param clusterKey key that all instances share
     * @param handlers handlers of the requests to this instance
     */
    public TcpPeerTransport(
            PeerEventLoop loop,
            String ownAddress,
            String clusterKey,
            PeerRequestDispatcher handlers) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.ownAddress = Objects.requireNonNull(ownAddress, "ownAddress");
        this.handshake = new PeerHandshake(clusterKey);
        this.handlers = Objects.requireNonNull(handlers, "handlers");
        this.localExecutor = new PerTypeExecutor(loop.handlerExecutor());
    }

    @Override
    public <R> CompletableFuture<R> call(String address, PeerRequest<R> request, long timeoutMs) {
        Objects.requireNonNull(address, "address");
        if (timeoutMs <= 0) {
            throw new IllegalArgumentException("timeoutMs must be positive but is " + timeoutMs);
        }
        PeerMessage message = PeerRequestDispatcher.annotationOf(request.getClass());
        if (address.equals(ownAddress)) {
            return callLocally(request, message, timeoutMs);
        }
        long requestId = requestIds.incrementAndGet();
        CompletableFuture<R> result = new CompletableFuture<>();
        try {
            byte[] frame =
                    PeerCodec.SHARED.encode(
                            PeerFrame.REQUEST, requestId, message.code(), request, address);
            OutboundChannel.PendingCall<R> call =
                    new OutboundChannel.PendingCall<>(
                            requestId,
                            new PeerChannel.OutgoingFrame(
                                    frame, request.getClass().getSimpleName()),
                            replyType(message),
                            result);
            loop.execute(() -> send(address, call, timeoutMs));
        } catch (TransportException e) {
            result.completeExceptionally(e);
        }
        return result;
    }

    // Unchecked: the annotation of a request type must declare its type argument R as reply type.
    @SuppressWarnings("unchecked")
    private static <R> Class<R> replyType(PeerMessage message) {
        return (Class<R>) message.reply();
    }

    private void send(String address, OutboundChannel.PendingCall<?> call, long timeoutMs) {
        try {
            OutboundChannel channel = channels.get(address);
            if (channel == null || channel.isClosed()) {
                channel = OutboundChannel.connect(loop, address, handshake);
                channels.values().removeIf(PeerChannel::isClosed);
                channels.put(address, channel);
            }
            channel.call(call, timeoutMs);
        } catch (IOException | RuntimeException e) {
            call.result()
                    .completeExceptionally(
                            new TransportException(
                                    "connect",
                                    address,
                                    "cannot connect to the peer: " + e,
                                    false,
                                    e));
        }
    }

    private <R> CompletableFuture<R> callLocally(
            PeerRequest<R> request, PeerMessage message, long timeoutMs) {
        CompletableFuture<R> result = new CompletableFuture<>();
        Class<R> replyType = replyType(message);
        localExecutor.execute(
                message.code(),
                () ->
                        handlers.handleLocal(request, message.code(), ownAddress)
                                .whenComplete(
                                        (reply, failure) ->
                                                completeResult(result, replyType, reply, failure)));
        CompletableFuture<R> mappedResult = new CompletableFuture<>();
        result.orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .whenComplete(
                        (reply, failure) -> {
                            if (failure == null) {
                                mappedResult.complete(reply);
                            } else {
                                mappedResult.completeExceptionally(
                                        localFailure(failure, timeoutMs));
                            }
                        });
        return mappedResult;
    }

    private static <R> void completeResult(
            CompletableFuture<R> result, Class<R> type, Object reply, Throwable failure) {
        if (failure == null) {
            result.complete(type.cast(reply));
        } else {
            result.completeExceptionally(failure);
        }
    }

    private TransportException localFailure(Throwable failure, long timeoutMs) {
        if (failure instanceof TimeoutException) {
            return new TransportException(
                    "await-reply",
                    ownAddress,
                    "no reply within " + timeoutMs + " ms",
                    true,
                    failure);
        }
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        return cause instanceof TransportException
                ? (TransportException) cause
                : new TransportException("handle", ownAddress, "" + cause, true, cause);
    }
}

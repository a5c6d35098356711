package io.sapphirestack.runtime.transport;

import io.sapphirestack.core.error.SapphireException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletionException;

/** Connection on which another instance sends requests. Runs on the event loop unless noted. */
final class InboundChannel extends PeerChannel {

    private static final EventLog LOG = EventLog.of(InboundChannel.class);

    // Limit for the bytes of requests in progress and of replies to be sent. Above it no more
    // requests of the peer are read.
    private static final long MAX_BUFFERED_BYTES = 32L * 1024 * 1024;
    private static final long IDLE_CLOSE_MS = 180_000;

    private final PeerHandshake handshake;
    private final PeerRequestDispatcher handlers;
    private final PerTypeExecutor handlerExecutor;
    private final byte[] serverNonce;
    private final Runnable afterClose;
    private boolean authenticated;
    private long requestBytesInProgress;

    private InboundChannel(
            PeerEventLoop loop,
            SocketChannel channel,
            String peer,
            PeerHandshake handshake,
            PeerRequestDispatcher handlers,
            Runnable afterClose) {
        super(loop, peer, channel);
        this.handshake = handshake;
        this.handlers = handlers;
        this.handlerExecutor = new PerTypeExecutor(loop.handlerExecutor());
        this.serverNonce = handshake.newNonce();
        this.afterClose = afterClose;
    }

    static void accept(
            PeerEventLoop loop,
            SocketChannel socket,
            PeerHandshake handshake,
            PeerRequestDispatcher handlers,
            Runnable afterClose)
            throws IOException {
        String peer = String.valueOf(socket.getRemoteAddress()).replaceFirst("^.*/", "");
        InboundChannel channel =
                new InboundChannel(loop, socket, peer, handshake, handlers, afterClose);
        channel.register(SelectionKey.OP_READ);
        channel.send(new OutgoingFrame(handshake.hello(channel.serverNonce), "Handshake"));
        loop.schedule(
                loop.nowMs() + OutboundChannel.CONNECT_TIMEOUT_MS, channel::checkAuthenticated);
        loop.schedule(loop.nowMs() + IDLE_CLOSE_MS, channel::checkIdle);
    }

    private void checkAuthenticated() {
        if (!authenticated) {
            onFailure(
                    new IOException(
                            "handshake not completed within "
                                    + OutboundChannel.CONNECT_TIMEOUT_MS
                                    + " ms"));
        }
    }

    private void checkIdle() {
        if (isClosed()) {
            return;
        }
        long idleMs = loop().nowMs() - lastReceivedMs();
        if (idleMs >= IDLE_CLOSE_MS && requestBytesInProgress == 0) {
            onFailure(
                    new IOException(
                            "the connection was idle for at least " + IDLE_CLOSE_MS + " ms"));
        } else {
            loop().schedule(loop().nowMs() + IDLE_CLOSE_MS, this::checkIdle);
        }
    }

    @Override
    void onFrame(byte[] payload) throws TransportException {
        if (!authenticated) {
            byte[] clientNonce = handshake.verifyClientProof(payload, serverNonce, peer());
            authenticated = true;
            raiseFrameLimit();
            send(new OutgoingFrame(handshake.serverProof(serverNonce, clientNonce), "Handshake"));
            return;
        }
        PeerFrame frame = PeerCodec.decodeFrame(payload, peer());
        if (frame.kind() != PeerFrame.REQUEST) {
            throw new TransportException(
                    "decode",
                    peer(),
                    "received a reply on a connection that carries requests only",
                    true,
                    null);
        }
        requestBytesInProgress += frame.body().length;
        pauseOrResumeReading();
        handlerExecutor.execute(frame.typeCode(), () -> serve(frame));
    }

    // Runs on a handler thread.
    private void serve(PeerFrame frame) {
        handlers.handle(frame, peer())
                .whenComplete(
                        (reply, failure) -> {
                            byte[] replyFrame = encodeReply(frame, reply, failure);
                            String type =
                                    reply == null ? "Error" : reply.getClass().getSimpleName();
                            loop().execute(() -> sendReply(frame, replyFrame, type));
                        });
    }

    private byte[] encodeReply(PeerFrame frame, Object reply, Throwable failure) {
        try {
            if (failure == null && reply != null) {
                return PeerCodec.SHARED.encode(
                        PeerFrame.REPLY, frame.requestId(), frame.typeCode(), reply, peer());
            }
            return encodeError(frame, failure);
        } catch (TransportException e) {
            try {
                return encodeError(frame, e);
            } catch (TransportException tooLarge) {
                throw new IllegalStateException(
                        "the encoded error exceeds the frame limit", tooLarge);
            }
        }
    }

    private byte[] encodeError(PeerFrame frame, Throwable failure) throws TransportException {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        PeerError error =
                cause instanceof SapphireException
                        ? new PeerError(
                                ((SapphireException) cause).step(),
                                ((SapphireException) cause).peer(),
                                truncate(cause.getMessage()))
                        : new PeerError(
                                "handle",
                                "local",
                                cause == null
                                        ? "the handler completed without a reply"
                                        : truncate("" + cause));
        return PeerCodec.SHARED.encode(
                PeerFrame.ERROR, frame.requestId(), frame.typeCode(), error, peer());
    }

    private static String truncate(String message) {
        return message.length() <= 1_000 ? message : message.substring(0, 1_000);
    }

    private void sendReply(PeerFrame frame, byte[] replyFrame, String type) {
        requestBytesInProgress -= frame.body().length;
        send(new OutgoingFrame(replyFrame, type));
        pauseOrResumeReading();
    }

    private void pauseOrResumeReading() {
        pauseReading(requestBytesInProgress + outgoingBytes() > MAX_BUFFERED_BYTES);
    }

    @Override
    void onWritten() {
        pauseOrResumeReading();
    }

    @Override
    void onClosed(Exception cause) {
        if (cause instanceof TransportException) {
            LOG.warn(
                    "SAP1103",
                    "A peer connection was closed after a protocol error",
                    "peer",
                    peer(),
                    "reason",
                    cause.getMessage());
        }
        afterClose.run();
    }
}

package io.sapphirestack.runtime.transport;

import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Connection on which this instance sends requests. Runs on the thread of the event loop. */
final class OutboundChannel extends PeerChannel {

    /** Timeout of connect and handshake. The next call after it opens a new connection. */
    static final long CONNECT_TIMEOUT_MS = 1_000;

    private static final EventLog LOG = EventLog.of(OutboundChannel.class);

    // Idle connections are closed, so that none remain to instances that were replaced.
    private static final long IDLE_CLOSE_MS = 60_000;
    private static final long MAX_QUEUED_BYTES = 32L * 1024 * 1024;

    private final PeerHandshake handshake;
    private final byte[] clientNonce;
    private final Map<Long, PendingCall<?>> pending = new HashMap<>();
    private final List<PendingCall<?>> queuedUntilAuthenticated = new ArrayList<>();
    private byte[] serverNonce;
    private boolean authenticated;
    private long lastUsedMs;

    private OutboundChannel(
            PeerEventLoop loop, String peer, SocketChannel channel, PeerHandshake handshake) {
        super(loop, peer, channel);
        this.handshake = handshake;
        this.clientNonce = handshake.newNonce();
        this.lastUsedMs = loop.nowMs();
    }

    /** Request whose reply is outstanding. */
    static final class PendingCall<R> {
        private final long requestId;
        private final OutgoingFrame frame;
        private final Class<R> replyType;
        private final CompletableFuture<R> result;
        private long progressWhenQueued;

        PendingCall(
                long requestId,
                OutgoingFrame frame,
                Class<R> replyType,
                CompletableFuture<R> result) {
            this.requestId = requestId;
            this.frame = frame;
            this.replyType = replyType;
            this.result = result;
        }

        Class<R> replyType() {
            return replyType;
        }

        CompletableFuture<R> result() {
            return result;
        }
    }

    static OutboundChannel connect(PeerEventLoop loop, String address, PeerHandshake handshake)
            throws IOException {
        InetSocketAddress target = PeerAddresses.parse(address);
        SocketChannel socket = SocketChannel.open();
        try {
            OutboundChannel channel = new OutboundChannel(loop, address, socket, handshake);
            socket.configureBlocking(false);
            boolean connected = socket.connect(target);
            channel.register(connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
            loop.schedule(loop.nowMs() + CONNECT_TIMEOUT_MS, channel::checkAuthenticated);
            loop.schedule(loop.nowMs() + IDLE_CLOSE_MS, channel::checkIdle);
            return channel;
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    void call(PendingCall<?> call, long timeoutMs) {
        if (outgoingBytes() > MAX_QUEUED_BYTES) {
            fail(
                    call,
                    "send",
                    "the bytes queued for this peer exceed the limit of "
                            + MAX_QUEUED_BYTES
                            + " bytes",
                    false,
                    null);
            return;
        }
        lastUsedMs = loop().nowMs();
        pending.put(call.requestId, call);
        if (authenticated) {
            queue(call);
        } else {
            queuedUntilAuthenticated.add(call);
        }
        loop().schedule(loop().nowMs() + timeoutMs, () -> expire(call, timeoutMs));
    }

    private void queue(PendingCall<?> call) {
        call.progressWhenQueued = progressCount();
        send(call.frame);
    }

    private void expire(PendingCall<?> call, long timeoutMs) {
        if (pending.remove(call.requestId) == null) {
            return;
        }
        boolean maybeSent = !queuedUntilAuthenticated.remove(call) && !removeUnsent(call.frame);
        fail(call, "await-reply", "no reply within " + timeoutMs + " ms", maybeSent, null);
        // A connection can stay open without passing data. If none passed since the request was
        // queued, the connection is closed and the next call opens a new one. One that is busy with
        // a large message on a slow link stays open.
        if (authenticated && progressCount() == call.progressWhenQueued) {
            LOG.warn("SAP1102", "Closing a peer connection that received no data", "peer", peer());
            onFailure(
                    new IOException("received no data on the connection for " + timeoutMs + " ms"));
        }
    }

    private void checkAuthenticated() {
        if (!authenticated) {
            onFailure(
                    new IOException(
                            "connect and handshake not completed within "
                                    + CONNECT_TIMEOUT_MS
                                    + " ms"));
        }
    }

    private void checkIdle() {
        if (isClosed()) {
            return;
        }
        if (pending.isEmpty() && loop().nowMs() - lastUsedMs >= IDLE_CLOSE_MS) {
            onFailure(
                    new IOException(
                            "the connection was idle for at least " + IDLE_CLOSE_MS + " ms"));
        } else {
            loop().schedule(loop().nowMs() + IDLE_CLOSE_MS, this::checkIdle);
        }
    }

    @Override
    void onFrame(byte[] payload) throws TransportException {
        if (authenticated) {
            onReply(PeerCodec.decodeFrame(payload, peer()));
        } else if (serverNonce == null) {
            serverNonce = handshake.readHello(payload, peer());
            send(new OutgoingFrame(handshake.clientProof(serverNonce, clientNonce), "Handshake"));
        } else {
            handshake.verifyServerProof(payload, serverNonce, clientNonce, peer());
            authenticated = true;
            raiseFrameLimit();
            queuedUntilAuthenticated.forEach(this::queue);
            queuedUntilAuthenticated.clear();
        }
    }

    private void onReply(PeerFrame frame) throws TransportException {
        if (frame.kind() == PeerFrame.REQUEST) {
            throw new TransportException(
                    "decode",
                    peer(),
                    "received a request on a connection that carries replies only",
                    true,
                    null);
        }
        PendingCall<?> call = pending.remove(frame.requestId());
        if (call != null) {
            loop().handlerExecutor()
                    .execute(() -> PeerReplyCompleter.complete(call, frame, peer()));
        }
    }

    @Override
    void onWritten() {
        // No action depends on the end of a write.
    }

    @Override
    void onClosed(Exception cause) {
        List<PendingCall<?>> failed = new ArrayList<>(pending.values());
        pending.clear();
        queuedUntilAuthenticated.clear();
        String step = authenticated ? "connection" : "connect";
        for (PendingCall<?> call : failed) {
            fail(call, step, cause.getMessage(), call.frame.isWriteStarted(), cause);
        }
    }

    private void fail(
            PendingCall<?> call, String step, String message, boolean maybeSent, Exception cause) {
        loop().handlerExecutor()
                .execute(
                        () ->
                                call.result()
                                        .completeExceptionally(
                                                new TransportException(
                                                        step, peer(), message, maybeSent, cause)));
    }
}

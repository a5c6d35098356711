package io.sapphirestack.runtime.transport;

import io.sapphirestack.runtime.metrics.EventLog;
import java.io.EOFException;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * One connection to another instance, driven by the event loop. All methods run on the thread of
 * the loop. Frames that are queued in one iteration of the loop are written together.
 */
abstract class PeerChannel implements PeerEventLoop.ChannelEventHandler {

    /** Size from which the end of a message is logged, in bytes. */
    static final int LARGE_MESSAGE_BYTES = 64 * 1024;

    private static final EventLog LOG = EventLog.of(PeerChannel.class);

    private final PeerEventLoop loop;
    private final String peer;
    private final SocketChannel channel;
    private final FrameDecoder decoder;
    private final Deque<OutgoingFrame> outgoing = new ArrayDeque<>();
    private SelectionKey key;
    private long outgoingBytes;
    private long lastReceivedMs;
    private long progressCount;
    private boolean readPaused;
    private boolean closed;

    PeerChannel(PeerEventLoop loop, String peer, SocketChannel channel) {
        this.loop = loop;
        this.peer = peer;
        this.channel = channel;
        this.decoder = new FrameDecoder(peer, PeerHandshake.MAX_FRAME_BYTES);
        this.lastReceivedMs = loop.nowMs();
    }

    /** Frame to be written, with the number of bytes that are already written. */
    static final class OutgoingFrame {
        private final byte[] bytes;
        private final String type;
        private int writtenBytes;
        private long queuedAtMs;

        /**
         * Creates a frame.
         *
         * @param bytes frame with its length field
         * @param type name of the message type, for logs
         */
        OutgoingFrame(byte[] bytes, String type) {
            this.bytes = bytes;
            this.type = type;
        }

        boolean isLarge() {
            return bytes.length >= LARGE_MESSAGE_BYTES;
        }

        boolean isWriteStarted() {
            return writtenBytes > 0;
        }
    }

    final void register(int operations) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        key = loop.register(channel, operations, this);
    }

    final PeerEventLoop loop() {
        return loop;
    }

    final String peer() {
        return peer;
    }

    final boolean isClosed() {
        return closed;
    }

    final long lastReceivedMs() {
        return lastReceivedMs;
    }

    /**
     * Returns a number that grows whenever the peer was seen to be there: with each read that
     * returned data, and each time that a full socket took more, because the peer had acknowledged
     * some of it.
     */
    final long progressCount() {
        return progressCount;
    }

    final long outgoingBytes() {
        return outgoingBytes;
    }

    /** Allows frames of full size, once the peer has proved that it knows the cluster key. */
    final void raiseFrameLimit() {
        decoder.setMaxFrameBytes(PeerFrame.MAX_BYTES);
    }

    final void send(OutgoingFrame frame) {
        if (closed) {
            return;
        }
        frame.queuedAtMs = loop.nowMs();
        outgoing.add(frame);
        outgoingBytes += frame.bytes.length;
        loop.flushLater(this);
    }

    /** Removes a queued frame; returns false if some of it was already written. */
    final boolean removeUnsent(OutgoingFrame frame) {
        if (frame.isWriteStarted() || !outgoing.remove(frame)) {
            return false;
        }
        outgoingBytes -= frame.bytes.length;
        return true;
    }

    final void pauseReading(boolean pause) {
        if (readPaused != pause && !closed) {
            readPaused = pause;
            updateInterestOps();
        }
    }

    @Override
    public final void onReady(SelectionKey selected) throws IOException {
        if (selected.isConnectable() && channel.finishConnect()) {
            updateInterestOps();
        }
        if (selected.isValid() && selected.isReadable()) {
            read();
        }
        if (selected.isValid() && selected.isWritable()) {
            progressCount++;
            flush();
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = loop.buffer();
        int count = channel.read(buffer);
        if (count < 0) {
            throw new EOFException("the peer closed the connection");
        }
        loop.countBytes(count);
        lastReceivedMs = loop.nowMs();
        progressCount++;
        buffer.flip();
        try {
            Optional<byte[]> frame = decoder.next(buffer);
            while (frame.isPresent() && !closed) {
                onFrame(frame.get());
                frame = decoder.next(buffer);
            }
        } catch (TransportException e) {
            onFailure(e);
        }
    }

    /** Writes queued frames until the socket accepts no more bytes. */
    final void flush() {
        if (closed || !channel.isConnected()) {
            return;
        }
        try {
            while (!outgoing.isEmpty()) {
                ByteBuffer buffer = loop.buffer();
                copyQueuedBytes(buffer);
                buffer.flip();
                int queuedBytes = buffer.remaining();
                int count = channel.write(buffer);
                loop.countBytes(count);
                markWritten(count);
                if (count < queuedBytes) {
                    break;
                }
            }
            updateInterestOps();
            onWritten();
        } catch (IOException e) {
            onFailure(e);
        }
    }

    private void copyQueuedBytes(ByteBuffer buffer) {
        Iterator<OutgoingFrame> frames = outgoing.iterator();
        while (frames.hasNext() && buffer.hasRemaining()) {
            OutgoingFrame frame = frames.next();
            int count = Math.min(buffer.remaining(), frame.bytes.length - frame.writtenBytes);
            buffer.put(frame.bytes, frame.writtenBytes, count);
        }
    }

    private void markWritten(int count) {
        int remaining = count;
        while (remaining > 0) {
            OutgoingFrame frame = outgoing.peek();
            int part = Math.min(remaining, frame.bytes.length - frame.writtenBytes);
            frame.writtenBytes += part;
            remaining -= part;
            outgoingBytes -= part;
            if (frame.writtenBytes == frame.bytes.length) {
                outgoing.remove();
                logSent(frame);
            }
        }
    }

    private void logSent(OutgoingFrame frame) {
        if (frame.isLarge()) {
            LOG.info("SAP1105", "A large message was sent", describe(frame));
        }
    }

    private void logLost(OutgoingFrame frame) {
        if (frame.isLarge()) {
            LOG.info("SAP1106", "A large message was lost with its connection", describe(frame));
        }
    }

    private Object[] describe(OutgoingFrame frame) {
        return new Object[] {
            "peer", peer,
            "type", frame.type,
            "bytes", frame.bytes.length,
            "writtenBytes", frame.writtenBytes,
            "durationMs", loop.nowMs() - frame.queuedAtMs
        };
    }

    private void updateInterestOps() {
        if (key != null && key.isValid() && channel.isConnected()) {
            key.interestOps(
                    (readPaused ? 0 : SelectionKey.OP_READ)
                            | (outgoing.isEmpty() ? 0 : SelectionKey.OP_WRITE));
        }
    }

    @Override
    public final void onFailure(Exception cause) {
        if (closed) {
            return;
        }
        closed = true;
        if (key != null) {
            key.cancel();
        }
        try {
            channel.close();
        } catch (IOException e) {
            // The connection is closed in any case, and its calls fail with the original cause.
        }
        outgoing.forEach(this::logLost);
        onClosed(cause);
    }

    /** Called with the content of each complete frame. */
    abstract void onFrame(byte[] payload) throws TransportException;

    /** Called after queued frames were written in part or in full. */
    abstract void onWritten();

    /** Called once when the connection is closed, with the cause. */
    abstract void onClosed(Exception cause);
}

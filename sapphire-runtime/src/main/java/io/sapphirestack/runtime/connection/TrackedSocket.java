package io.sapphirestack.runtime.connection;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * Socket that measures for how long its peer does not read, and whose reads can be guarded.
 * Blocking writes have no timeout, so a peer that never reads would block its thread forever; the
 * duration lets another thread close the socket. As thread-safe as {@link Socket}.
 */
public final class TrackedSocket extends Socket {

    private static final EventLog LOG = EventLog.of(TrackedSocket.class);

    /**
     * Maximum number of bytes of one read or write at the socket. The JDK keeps a direct buffer of
     * the size of the longest one for each thread. At this size, 2,000 threads of connections take
     * half of a direct memory of 16 MB.
     */
    static final int MAX_TRANSFER_BYTES = 4_096;

    /**
     * Rate below which a peer counts as one that does not read, in bytes per millisecond: 64 kbit/s
     * is little beside the 5 Mbit/s of the slowest machine.
     */
    private static final long MIN_READ_BYTES_PER_MS = 8;

    private static final long NANOS_PER_MS = 1_000_000;

    private volatile long unreadSinceNanos;
    private volatile boolean writeInProgress;
    private GuardedInputStream input;

    /**
     * Returns for how long the peer has not read the current write, in milliseconds; 0 if no write
     * is in progress. Each byte that was taken shortens it, so that a long response to a slow peer
     * is not ended while it is read, but one that is read byte by byte is.
     */
    public long unreadMs() {
        if (!writeInProgress) {
            return 0;
        }
        // Read after the flag; before it, this could be the time of an earlier write.
        long sinceNanos = unreadSinceNanos;
        return Math.max(0, (System.nanoTime() - sinceNanos) / NANOS_PER_MS);
    }

    /**
     * Returns the input of the connected socket.
     *
     * @throws IOException if the socket is not connected or closed
     */
    public synchronized GuardedInputStream guardedInput() throws IOException {
        if (input == null) {
            input = new GuardedInputStream(super.getInputStream());
        }
        return input;
    }

    /** Returns whether bytes have arrived that were not read; false if the socket has failed. */
    public boolean hasUnreadInput() {
        try {
            return guardedInput().available() > 0;
        } catch (IOException e) {
            LOG.debug("SAP1208", "A connection failed before it was closed", "cause", e);
            return false;
        }
    }

    /**
     * Ends the output and reads what the peer still sends, for a short time. Closing a connection
     * with unread bytes resets it, and the peer could lose the response.
     *
     * @param clock monotonic clock
     * @param timeoutMs longest time, in milliseconds
     * @throws IOException if the connection fails
     */
    public void discardInput(MillisClock clock, long timeoutMs) throws IOException {
        shutdownOutput();
        setSoTimeout(GuardedInputStream.CHECK_INTERVAL_MS);
        byte[] chunk = new byte[MAX_TRANSFER_BYTES];
        guardedInput().setByteCounter(bytes -> {});
        guardedInput().guardBody(GuardedInputStream.timeoutGuard(clock, timeoutMs));
        try {
            while (guardedInput().read(chunk, 0, chunk.length) >= 0) {
                LOG.debug("SAP1927", "Bytes after a rejected request were discarded");
            }
        } catch (SocketTimeoutException e) {
            LOG.debug("SAP1208", "A connection failed before it was closed", "cause", e);
        }
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return guardedInput();
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new TrackedOutputStream(super.getOutputStream());
    }

    private final class TrackedOutputStream extends FilterOutputStream {

        TrackedOutputStream(OutputStream out) {
            super(out);
        }

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            unreadSinceNanos = System.nanoTime();
            writeInProgress = true;
            try {
                for (int written = 0; written < length; written += MAX_TRANSFER_BYTES) {
                    int part = Math.min(MAX_TRANSFER_BYTES, length - written);
                    out.write(bytes, offset + written, part);
                    countTaken(part);
                }
            } finally {
                writeInProgress = false;
            }
        }

        /** Bytes that a socket buffer took at once give no credit for the time after them. */
        private void countTaken(int bytes) {
            long nowNanos = System.nanoTime();
            long creditNanos = bytes * NANOS_PER_MS / MIN_READ_BYTES_PER_MS;
            unreadSinceNanos += Math.min(creditNanos, nowNanos - unreadSinceNanos);
        }
    }
}

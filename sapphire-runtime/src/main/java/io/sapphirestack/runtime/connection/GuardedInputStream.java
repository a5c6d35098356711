package io.sapphirestack.runtime.connection;

import io.sapphirestack.core.time.MillisClock;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;

/**
 * Input of a socket on which every read has an end. While a guard is set, a read calls it about
 * every {@link #CHECK_INTERVAL_MS}, also if single bytes keep arriving, and fails after a maximum
 * number of bytes. Without a guard, reads behave as on the socket. Used by one thread at a time.
 *
 * <p>The timeout of the socket must be {@link #CHECK_INTERVAL_MS} while a guard is set, so that a
 * read without data returns in time for the next check.
 */
public final class GuardedInputStream extends FilterInputStream {

    /** Interval at which a read calls its guard, in milliseconds. */
    public static final int CHECK_INTERVAL_MS = 50;

    private final MillisClock clock = MillisClock.monotonic();
    private Guard guard;
    private ByteCounter counter = count -> {};
    private long maxBytes;
    private long readBytes;
    private long checkedAtMs;
    private boolean blocking = true;
    private boolean endReached;

    /** Decides whether a read continues to wait. */
    @FunctionalInterface
    public interface Guard {

        /**
         * Checks the read.
         *
         * @throws IOException if the read must end; the read throws this exception
         */
        void check() throws IOException;
    }

    /**
     * Returns a guard that ends reads after a time.
     *
     * @param clock monotonic clock
     * @param timeoutMs time from now, in milliseconds
     * @return guard that throws {@link SocketTimeoutException} from then on
     */
    public static Guard timeoutGuard(MillisClock clock, long timeoutMs) {
        long endsAtMs = clock.nowMs() + timeoutMs;
        return () -> {
            if (clock.nowMs() >= endsAtMs) {
                throw new SocketTimeoutException(
                        "the request did not arrive within " + timeoutMs + " ms");
            }
        };
    }

    /** Is told the bytes that arrive, before their reader receives them. */
    @FunctionalInterface
    public interface ByteCounter {

        /**
         * Counts bytes.
         *
         * @param bytes number of bytes, negative at the end of the connection
         * @throws IOException if they must not be read; the read throws this exception
         */
        void count(int bytes) throws IOException;
    }

    GuardedInputStream(InputStream in) {
        super(in);
    }

    /**
     * Sets the guard of the next reads, which receive the head of a message. The interval of the
     * checks continues if another guard was set.
     *
     * @param next guard
     * @param maxHeadBytes number of bytes after which a read fails with {@link MessageLimit#HEAD}
     */
    public void guardHead(Guard next, long maxHeadBytes) {
        if (guard == null) {
            checkedAtMs = clock.nowMs();
        }
        guard = next;
        maxBytes = maxHeadBytes;
        readBytes = 0;
    }

    /**
     * Sets the guard of the next reads, which receive the body of a message; its size is not
     * limited here.
     *
     * @param next guard
     */
    public void guardBody(Guard next) {
        guardHead(next, Long.MAX_VALUE);
    }

    /**
     * Sets the counter of all bytes that arrive from now on.
     *
     * @param next counter
     */
    public void setByteCounter(ByteCounter next) {
        counter = next;
    }

    /** Removes the guard. */
    public void clearGuard() {
        guard = null;
    }

    /**
     * Returns whether the peer has ended its side of the connection. A head or a chunked body whose
     * reader has reached this end is truncated, although the HTTP library accepts it.
     */
    public boolean isEndReached() {
        return endReached;
    }

    /**
     * Selects whether a read waits for data. A read that does not wait fails as if the timeout of
     * the socket had passed.
     *
     * @param wait whether to wait
     */
    public void setBlocking(boolean wait) {
        blocking = wait;
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xFF;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        if (!blocking && in.available() == 0) {
            throw new SocketTimeoutException("no data is available");
        }
        int maxLength = Math.min(length, TrackedSocket.MAX_TRANSFER_BYTES);
        if (guard == null) {
            int count = in.read(buffer, offset, maxLength);
            counter.count(count);
            return count;
        }
        while (true) {
            checkIfDue();
            try {
                int count = in.read(buffer, offset, maxLength);
                countBytes(count);
                return count;
            } catch (SocketTimeoutException e) {
                checkNow();
            }
        }
    }

    private void checkIfDue() throws IOException {
        if (clock.nowMs() - checkedAtMs >= CHECK_INTERVAL_MS) {
            checkNow();
        }
    }

    private void checkNow() throws IOException {
        checkedAtMs = clock.nowMs();
        guard.check();
    }

    private void countBytes(int count) throws IOException {
        endReached = count < 0;
        counter.count(count);
        readBytes += Math.max(0, count);
        if (readBytes > maxBytes) {
            throw new MessageLimitException(MessageLimit.HEAD, maxBytes);
        }
    }
}

package io.sapphirestack.runtime.connection;

import io.sapphirestack.core.limit.ByteBudget;
import java.util.Objects;

/**
 * Reserves memory for the lines of heads and trailers of one connection, before the HTTP library
 * allocates objects for them. Bytes are counted when they arrive from the socket, lines before they
 * are read from the buffer of the library. Used by one thread at a time.
 *
 * <p>A head of 16 kB may have 5,000 lines, each of which becomes several objects, so its bytes
 * alone do not bound its memory.
 */
public final class HeadMeter implements AutoCloseable {

    /**
     * Memory of one line besides its characters, in bytes: a character buffer of at least 168, the
     * library's header of 32, two strings of 48, the field of this system of 24, and their places
     * in the lists of received and forwarded fields.
     */
    static final long LINE_MEMORY_BYTES = 512;

    /**
     * Memory of one received byte of a line, in bytes: up to four in a growing character buffer,
     * two in the line buffer, one in a string and one in the message that is forwarded.
     */
    static final long CHARACTER_MEMORY_BYTES = 8;

    /** Memory of one line after the objects of the library were dropped, in bytes. */
    static final long RETAINED_LINE_MEMORY_BYTES = 256;

    /** Memory of one byte after the objects of the library were dropped, in bytes. */
    static final long RETAINED_CHARACTER_MEMORY_BYTES = 2;

    /**
     * Memory of a head, in bytes, above which it finds memory only while half of the budget is
     * free. Ordinary heads of up to 4 kB and 60 lines stay below, so large heads do not displace
     * them.
     */
    static final long SMALL_HEAD_MEMORY_BYTES = 64 * 1_024;

    /** Lines above this size enlarge the line buffer of the library, which never shrinks. */
    private static final int PLAIN_LINE_BYTES = 2 * 1_024;

    private final ByteBudget.Lease lineBuffer;
    private final long maxBytes;
    private ByteBudget.Lease lease;
    private boolean counting;
    private long countedBytes;
    private long countedLines;
    private long reservedBytes;
    private long lineBufferBytes;

    /**
     * Creates a meter.
     *
     * @param memory memory for the messages of all connections
     * @param maxBytes largest number of bytes of a head or trailer, including what is read ahead
     */
    public HeadMeter(ByteBudget memory, long maxBytes) {
        this.lineBuffer = memory.newLease();
        this.maxBytes = maxBytes;
        this.lease = memory.newLease();
    }

    /**
     * Begins a message.
     *
     * @param messageLease memory of the message; its owner closes it
     */
    public void startMessage(ByteBudget.Lease messageLease) {
        lease = Objects.requireNonNull(messageLease, "messageLease");
        counting = false;
        countedBytes = 0;
        countedLines = 0;
        reservedBytes = 0;
    }

    /**
     * Ends the message, whose lease its owner closes. What arrives until the next message is
     * counted with that one; a closed lease would not return it.
     */
    public void endMessage() {
        counting = false;
    }

    /**
     * Begins to count the lines of a head or trailer.
     *
     * @param bufferedBytes bytes that the library has read ahead and that were not counted
     */
    void beginLines(int bufferedBytes) throws MessageLimitException {
        counting = true;
        count(bufferedBytes);
    }

    /**
     * Stops counting.
     *
     * @param bufferedBytes bytes that were counted and that belong to what follows
     */
    void endLines(int bufferedBytes) {
        counting = false;
        long followingBytes = Math.min(bufferedBytes, countedBytes);
        countedBytes -= followingBytes;
        release(followingBytes * CHARACTER_MEMORY_BYTES);
    }

    /** Counts bytes that arrived from the socket, if they belong to a head or trailer. */
    void countArrived(int bytes) throws MessageLimitException {
        if (counting) {
            count(bytes);
        }
    }

    /** Counts a line that is about to be read. */
    void countLine() throws MessageLimitException {
        countedLines++;
        reserve(LINE_MEMORY_BYTES);
    }

    /**
     * Counts the growth of the line buffer of the library, which lasts as long as the connection.
     */
    void countLineBuffer(int lineBytes) throws MessageLimitException {
        // The buffer doubles when it grows.
        long requiredBytes = lineBytes > PLAIN_LINE_BYTES ? 2L * lineBytes : 0;
        if (requiredBytes > lineBufferBytes) {
            if (!lineBuffer.tryReserve(requiredBytes - lineBufferBytes)) {
                throw new MessageLimitException(MessageLimit.MEMORY, requiredBytes);
            }
            lineBufferBytes = requiredBytes;
        }
    }

    /** Releases the memory of the objects of the library, which the caller has dropped. */
    public void releaseParsed() {
        long retainedBytes =
                countedLines * RETAINED_LINE_MEMORY_BYTES
                        + countedBytes * RETAINED_CHARACTER_MEMORY_BYTES;
        release(Math.max(0, reservedBytes - retainedBytes));
    }

    private void count(int bytes) throws MessageLimitException {
        countedBytes += Math.max(0, bytes);
        if (countedBytes > maxBytes) {
            throw new MessageLimitException(MessageLimit.HEAD, maxBytes);
        }
        reserve(Math.max(0, bytes) * CHARACTER_MEMORY_BYTES);
    }

    private void reserve(long bytes) throws MessageLimitException {
        boolean isSmall = reservedBytes + bytes <= SMALL_HEAD_MEMORY_BYTES;
        if (!(isSmall ? lease.tryReserve(bytes) : lease.tryReserveLarge(bytes))) {
            throw new MessageLimitException(MessageLimit.MEMORY, bytes);
        }
        reservedBytes += bytes;
    }

    private void release(long bytes) {
        lease.release(bytes);
        reservedBytes -= bytes;
    }

    /** Returns the memory that the connection holds between its messages. */
    @Override
    public void close() {
        lineBuffer.close();
    }
}

package io.sapphirestack.runtime.connection;

import io.sapphirestack.core.limit.ByteBudget;
import java.util.Arrays;
import java.util.Objects;

/**
 * Growing byte buffer that takes its memory from a budget before it allocates it, and that does not
 * grow above a limit. Not thread-safe. Its memory returns to the budget with the lease.
 */
public final class BoundedBuffer {

    private static final int INITIAL_BYTES = 512;
    private static final byte[] EMPTY = {};

    private final ByteBudget.Lease lease;
    private final MessageLimit limit;
    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /**
     * Creates an empty buffer.
     *
     * @param lease memory of the buffer
     * @param limit limit that a larger message exceeds
     * @param maxBytes maximum size in bytes
     */
    public BoundedBuffer(ByteBudget.Lease lease, MessageLimit limit, int maxBytes) {
        this.lease = Objects.requireNonNull(lease, "lease");
        this.limit = Objects.requireNonNull(limit, "limit");
        this.maxBytes = maxBytes;
    }

    /** Returns the number of bytes in the buffer. */
    public int size() {
        return size;
    }

    /**
     * Appends bytes.
     *
     * @param source array that contains them
     * @param offset index of the first one
     * @param length number of bytes
     * @throws MessageLimitException if the buffer would exceed its limit or the budget is exhausted
     */
    public void append(byte[] source, int offset, int length) throws MessageLimitException {
        if (length > maxBytes - size) {
            throw new MessageLimitException(limit, maxBytes);
        }
        if (size + length > bytes.length) {
            grow(size + length);
        }
        System.arraycopy(source, offset, bytes, size, length);
        size += length;
    }

    private void grow(int requiredBytes) throws MessageLimitException {
        long doubledBytes = Math.max(INITIAL_BYTES, 2L * bytes.length);
        resize((int) Math.max(requiredBytes, Math.min(doubledBytes, maxBytes)));
    }

    private void resize(int capacityBytes) throws MessageLimitException {
        if (!lease.tryReserve(capacityBytes)) {
            throw new MessageLimitException(MessageLimit.MEMORY, capacityBytes);
        }
        int oldBytes = bytes.length;
        bytes = Arrays.copyOf(bytes, capacityBytes);
        lease.release(oldBytes);
    }

    /**
     * Returns the bytes without a copy where their number allows it, and empties the buffer. The
     * lease continues to hold the memory.
     *
     * @return all bytes in order
     * @throws MessageLimitException if the budget is exhausted
     */
    public byte[] detach() throws MessageLimitException {
        if (bytes.length != size) {
            resize(size);
        }
        byte[] detached = bytes;
        bytes = EMPTY;
        size = 0;
        return detached;
    }

    /** Returns a copy of the bytes, which does not count towards the lease. */
    public byte[] copy() {
        return Arrays.copyOf(bytes, size);
    }

    /** Empties the buffer; it keeps its memory only if that is small. */
    public void clear() {
        size = 0;
        if (bytes.length > INITIAL_BYTES) {
            lease.release(bytes.length);
            bytes = EMPTY;
        }
    }
}

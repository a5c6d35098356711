package io.sapphirestack.core.limit;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the bytes of messages that one instance holds in memory at the same time. Each message
 * takes memory as it grows, so that many large messages cannot exhaust the heap. Thread-safe and
 * lock-free.
 */
public final class ByteBudget {

    private final long capacityBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param capacityBytes maximum number of bytes that may be reserved at the same time
     */
    public ByteBudget(long capacityBytes) {
        if (capacityBytes <= 0) {
            throw new IllegalArgumentException(
                    "the capacity must be positive, not " + capacityBytes + " bytes");
        }
        this.capacityBytes = capacityBytes;
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes.get();
    }

    /** Returns a lease that has no bytes yet. */
    public Lease newLease() {
        return new Lease();
    }

    private boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= capacityBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /**
     * Bytes that one message holds. Used by one thread at a time; closing it returns all of its
     * bytes to the budget.
     */
    public final class Lease implements AutoCloseable {

        private long leasedBytes;

        private Lease() {}

        /**
         * Takes bytes out of the budget.
         *
         * @param bytes number of bytes, not negative
         * @return whether they were available; if not, the lease is unchanged
         */
        public boolean tryReserve(long bytes) {
            if (!ByteBudget.this.tryReserve(bytes)) {
                return false;
            }
            leasedBytes += bytes;
            return true;
        }

        /**
         * Returns some bytes to the budget.
         *
         * @param bytes number of bytes, at most those that the lease holds
         */
        public void release(long bytes) {
            if (bytes > leasedBytes) {
                throw new IllegalArgumentException(
                        bytes + " bytes are more than the leased " + leasedBytes);
            }
            leasedBytes -= bytes;
            reservedBytes.addAndGet(-bytes);
        }

        @Override
        public void close() {
            release(leasedBytes);
        }
    }
}

package io.sapphirestack.core.limit;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * Limits the bytes of messages that one instance holds in memory at the same time. Each message
 * takes memory as it grows, so that many large messages cannot exhaust the heap. Thread-safe and
 * lock-free.
 */
public final class ByteBudget {

    /** Part of the budget that large messages may fill; the rest is left to small ones. */
    private static final double LARGE_MESSAGES_FRACTION = 0.5;

    private final long capacityBytes;
    private final AccountMemory accounts;
    private final AtomicLong reservedBytes = new AtomicLong();
    private final LongAdder failedReservations = new LongAdder();

    /**
     * Creates a budget of which one account may hold all.
     *
     * @param capacityBytes maximum number of bytes that may be reserved at the same time
     */
    public ByteBudget(long capacityBytes) {
        this(capacityBytes, 1);
    }

    /**
     * Creates a budget.
     *
     * @param capacityBytes maximum number of bytes that may be reserved at the same time
     * @param accountFraction part of them that the messages of one client account may hold, above 0
     *     and at most 1
     */
    public ByteBudget(long capacityBytes, double accountFraction) {
        if (capacityBytes <= 0) {
            throw new IllegalArgumentException(
                    "the capacity must be positive, not " + capacityBytes + " bytes");
        }
        if (!(accountFraction > 0 && accountFraction <= 1)) {
            throw new IllegalArgumentException(
                    "the fraction must be above 0 and at most 1, not " + accountFraction);
        }
        this.capacityBytes = capacityBytes;
        this.accounts = new AccountMemory((long) (capacityBytes * accountFraction));
    }

    /** Returns the number of bytes that are reserved now. */
    public long reservedBytes() {
        return reservedBytes.get();
    }

    /** Returns the number of reservations that found no memory. */
    public long failedReservations() {
        return failedReservations.sum();
    }

    /** Returns a lease that has no bytes yet. */
    public Lease newLease() {
        return new Lease();
    }

    private boolean tryReserve(long bytes, long limitBytes) {
        if (reservedBytes.addAndGet(bytes) <= limitBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        failedReservations.increment();
        return false;
    }

    /**
     * Bytes that one message holds. Used by one thread at a time; closing it returns all of its
     * bytes to the budget.
     */
    public final class Lease implements AutoCloseable {

        private long leasedBytes;
        private Optional<String> account = Optional.empty();

        private Lease() {}

        /**
         * Takes bytes out of the budget.
         *
         * @param bytes number of bytes, not negative
         * @return whether they were available; if not, the lease is unchanged
         */
        public boolean tryReserve(long bytes) {
            return tryReserve(bytes, capacityBytes);
        }

        /**
         * Takes bytes for a large message, as long as half of the budget remains for others.
         *
         * @param bytes number of bytes, not negative
         * @return whether they were available; if not, the lease is unchanged
         */
        public boolean tryReserveLarge(long bytes) {
            return tryReserve(bytes, (long) (capacityBytes * LARGE_MESSAGES_FRACTION));
        }

        private boolean tryReserve(long bytes, long limitBytes) {
            if (!ByteBudget.this.tryReserve(bytes, limitBytes)) {
                return false;
            }
            if (account.isPresent() && !accounts.tryAdd(account.get(), bytes)) {
                reservedBytes.addAndGet(-bytes);
                failedReservations.increment();
                return false;
            }
            leasedBytes += bytes;
            return true;
        }

        /**
         * Counts the bytes of the message also against the limit of a client account, from now on
         * until the lease is closed. Called at most once.
         *
         * @param name name of the account
         * @return whether the bytes that the lease holds are within the limit; if not, the lease is
         *     unchanged
         */
        public boolean assignTo(String name) {
            if (!accounts.tryAdd(name, leasedBytes)) {
                failedReservations.increment();
                return false;
            }
            account = Optional.of(name);
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
            account.ifPresent(name -> accounts.remove(name, bytes));
        }

        @Override
        public void close() {
            release(leasedBytes);
        }
    }
}

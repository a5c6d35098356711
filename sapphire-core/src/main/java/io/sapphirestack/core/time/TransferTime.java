package io.sapphirestack.core.time;

/**
 * Time that a transfer between instances may take by its size. Timeouts that ignore the size send a
 * large message again while its first copy is still on the link.
 */
public final class TransferTime {

    /**
     * Lowest rate at which a transfer is expected to advance, in bytes per millisecond (4 Mbit/s):
     * about half of the slowest links, which carry requests besides.
     */
    public static final long MIN_BYTES_PER_MS = 500;

    private TransferTime() {}

    /**
     * Returns the longest time that a transfer takes on a link that works.
     *
     * @param bytes size of the transfer, not negative
     * @return time in milliseconds, without any latency; 0 for small messages
     */
    public static long maxMs(long bytes) {
        return bytes / MIN_BYTES_PER_MS;
    }
}

package io.sapphirestack.core.membership;

import java.util.Objects;

/**
 * Block that was stored in or evicted from an engine's prefix cache.
 *
 * @param block chained hash of a prompt block (it covers all earlier blocks too), 16 hexadecimal
 *     digits
 * @param stored whether the block was stored; otherwise it was evicted
 */
public record CacheEvent(String block, boolean stored) {

    /** Checks that the hash has 16 hexadecimal digits. */
    public CacheEvent {
        Objects.requireNonNull(block, "block");
        if (block.length() != 16) {
            throw new IllegalArgumentException(
                    "block must have 16 hexadecimal digits but is " + block);
        }
        Long.parseUnsignedLong(block, 16);
    }

    /**
     * Creates an event.
     *
     * @param blockHash chained hash of a prompt block, unsigned 64 bits
     * @param stored whether the block was stored
     * @return the event
     */
    public static CacheEvent of(long blockHash, boolean stored) {
        return new CacheEvent(String.format("%016x", blockHash), stored);
    }

    /** Returns the chained hash, unsigned 64 bits. */
    public long blockHash() {
        return Long.parseUnsignedLong(block, 16);
    }
}

package io.sapphirestack.core.membership;

/**
 * Change of an engine's prefix cache.
 *
 * @param blockHash chained hash of a prompt block, unsigned 64 bits
 * @param stored whether the block was stored; otherwise it was evicted
 */
public record CacheEvent(long blockHash, boolean stored) {}

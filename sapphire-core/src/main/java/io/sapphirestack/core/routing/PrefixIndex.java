package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.CacheEvent;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Index of the prompt blocks that each endpoint probably holds in its prefix cache, built from
 * cache events, which may be late or missing, and from recent placements by this instance.
 *
 * <p>Each endpoint has a hash table of fixed size, divided into buckets. A full bucket replaces its
 * oldest entry, so memory is bounded. Reads take no lock; a read that overlaps a change may miss
 * one block, which only makes an estimate less accurate. Thread-safe.
 */
public final class PrefixIndex {
    /** Default number of blocks kept per endpoint, which is 2 MiB of prompts. */
    public static final int DEFAULT_BLOCKS_PER_ENDPOINT = 2_048;

    private static final int BUCKET_SLOTS = 8;
    private static final int SAMPLE_BLOCKS = 8;

    /** Mask that clears the lowest bit of a hash, which cache events do not carry. */
    private static final long HASH_MASK = ~1L;

    private static final long EMPTY_SLOT = 0;

    private final int buckets;
    private final Map<EndpointId, BlockSet> sets = new ConcurrentHashMap<>();

    /** Creates an index of the default size. */
    public PrefixIndex() {
        this(DEFAULT_BLOCKS_PER_ENDPOINT);
    }

    /**
     * Creates an index.
     *
     * @param blocksPerEndpoint blocks kept per endpoint, 1 to 2^24; rounded up to a power of two,
     *     at least 8
     * @throws IllegalArgumentException if the number is out of range
     */
    public PrefixIndex(int blocksPerEndpoint) {
        if (blocksPerEndpoint < 1 || blocksPerEndpoint > 1 << 24) {
            throw new IllegalArgumentException(
                    "blocksPerEndpoint must be between 1 and 2^24 but is " + blocksPerEndpoint);
        }
        int minBuckets = (blocksPerEndpoint + BUCKET_SLOTS - 1) / BUCKET_SLOTS;
        this.buckets = minBuckets == 1 ? 1 : Integer.highestOneBit(minBuckets - 1) << 1;
    }

    /**
     * Applies cache events of an endpoint.
     *
     * @param id identifier of the endpoint
     * @param epochMs start time of its process, in milliseconds; events of an earlier process are
     *     ignored, and a later process starts with an empty cache
     * @param events changes in the order in which they occurred
     */
    public void apply(EndpointId id, long epochMs, Collection<CacheEvent> events) {
        BlockSet set = setOf(id, epochMs);
        if (set.epochMs != epochMs) {
            return;
        }
        for (CacheEvent event : events) {
            if (event.stored()) {
                set.add(normalize(event.blockHash()));
            } else {
                set.remove(normalize(event.blockHash()));
            }
        }
    }

    /**
     * Records that a prompt was sent to an endpoint, which will soon have its blocks cached.
     *
     * @param id identifier of the endpoint
     * @param epochMs start time of its process when it was chosen, in milliseconds; the placement
     *     is ignored if a later process is known
     * @param prefix hashes of the prompt
     */
    public void recordPlacement(EndpointId id, long epochMs, PrefixHashes prefix) {
        if (prefix.size() == 0) {
            return;
        }
        BlockSet set = setOf(id, epochMs);
        if (set.epochMs != epochMs) {
            return;
        }
        for (int i = 0; i < prefix.size(); i++) {
            set.add(normalize(prefix.hash(i)));
        }
    }

    private BlockSet setOf(EndpointId id, long epochMs) {
        return sets.compute(
                id,
                (key, old) ->
                        old == null || old.epochMs < epochMs
                                ? new BlockSet(epochMs, buckets)
                                : old);
    }

    /**
     * Estimates how many leading blocks of a prompt an endpoint has cached. The hash of a block
     * covers all blocks before it, so the last known block counts even if events of earlier blocks
     * are missing.
     *
     * @param id identifier of the endpoint
     * @param epochMs start time of its process, in milliseconds; blocks of another process do not
     *     count
     * @param prefix hashes of the prompt
     * @return number of cached leading blocks, 0 if none is known
     */
    public int cachedBlocks(EndpointId id, long epochMs, PrefixHashes prefix) {
        BlockSet set = sets.get(id);
        if (set == null || set.epochMs != epochMs || !set.containsSample(prefix)) {
            return 0;
        }
        for (int i = prefix.size() - 1; i >= 0; i--) {
            if (set.contains(normalize(prefix.hash(i)))) {
                return i + 1;
            }
        }
        return 0;
    }

    /**
     * Removes an endpoint.
     *
     * @param id identifier of the endpoint
     */
    public void remove(EndpointId id) {
        sets.remove(id);
    }

    /** Returns the memory taken by the hashes of all endpoints, in bytes. */
    public long sizeBytes() {
        return (long) sets.size() * buckets * (BUCKET_SLOTS + 1) * Long.BYTES;
    }

    /** Returns the form in which a hash is stored; it never equals the empty slot. */
    private static long normalize(long hash) {
        long masked = hash & HASH_MASK;
        return masked == EMPTY_SLOT ? 2 : masked;
    }

    /**
     * Blocks of one process of an endpoint. The first element of a bucket counts the replacements
     * in the bucket; the others are its slots.
     */
    private static final class BlockSet {
        private static final int STRIDE = BUCKET_SLOTS + 1;

        private final long epochMs;
        private final AtomicLongArray table;
        private final int mask;

        BlockSet(long epochMs, int buckets) {
            this.epochMs = epochMs;
            this.table = new AtomicLongArray(buckets * STRIDE);
            this.mask = buckets - 1;
        }

        private int bucket(long hash) {
            return ((int) (hash >>> 8) & mask) * STRIDE;
        }

        boolean contains(long hash) {
            int start = bucket(hash);
            for (int i = 1; i <= BUCKET_SLOTS; i++) {
                if (table.getAcquire(start + i) == hash) {
                    return true;
                }
            }
            return false;
        }

        /**
         * Returns whether any block of a small sample is known. Most endpoints have no block of a
         * prompt, and looking up every block there would take most of the time of a routing
         * decision. The first blocks of the sample detect a short cached prefix; the others, at
         * even distances, detect a long one even if events are missing.
         */
        boolean containsSample(PrefixHashes prefix) {
            int size = prefix.size();
            if (size <= SAMPLE_BLOCKS) {
                return true;
            }
            for (int i = 0; i < SAMPLE_BLOCKS / 2; i++) {
                int sampledBlock = size - 1 - i * size / SAMPLE_BLOCKS;
                if (contains(normalize(prefix.hash(i)))
                        || contains(normalize(prefix.hash(sampledBlock)))) {
                    return true;
                }
            }
            return false;
        }

        synchronized void add(long hash) {
            int start = bucket(hash);
            int slot = 0;
            for (int i = 1; i <= BUCKET_SLOTS; i++) {
                long value = table.getPlain(start + i);
                if (value == hash) {
                    return;
                }
                if (value == EMPTY_SLOT && slot == 0) {
                    slot = i;
                }
            }
            if (slot == 0) {
                long replacements = table.getPlain(start);
                slot = 1 + (int) (replacements % BUCKET_SLOTS);
                table.setPlain(start, replacements + 1);
            }
            table.setRelease(start + slot, hash);
        }

        synchronized void remove(long hash) {
            int start = bucket(hash);
            for (int i = 1; i <= BUCKET_SLOTS; i++) {
                if (table.getPlain(start + i) == hash) {
                    table.setRelease(start + i, EMPTY_SLOT);
                }
            }
        }
    }
}

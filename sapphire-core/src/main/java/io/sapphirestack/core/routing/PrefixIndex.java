package io.sapphirestack.core.routing;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.CacheEvent;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Prompt blocks that each endpoint probably holds in its prefix cache, from late and incomplete
 * cache events and from own recent placements.
 *
 * <p>Each endpoint has a fixed table of hashes, divided into buckets; a full bucket replaces its
 * oldest entry, so memory is bounded. Reads take no lock; a read that overlaps a change may miss
 * one block, which only makes an estimate worse. Thread-safe.
 */
public final class PrefixIndex {
    /** Default number of blocks that are remembered per endpoint, 2 MiB of prompts. */
    public static final int DEFAULT_BLOCKS_PER_ENDPOINT = 2_048;

    private static final int BUCKET_SLOTS = 8;
    private static final int SAMPLE_BLOCKS = 8;

    /** The lowest bit of a hash is not carried by the dissemination of cache events. */
    private static final long HASH_MASK = ~1L;

    private static final long EMPTY = 0;

    private final int buckets;
    private final Map<EndpointId, BlockSet> sets = new ConcurrentHashMap<>();

    /** Creates an index of the default size. */
    public PrefixIndex() {
        this(DEFAULT_BLOCKS_PER_ENDPOINT);
    }

    /**
     * Creates an index.
     *
     * @param blocksPerEndpoint blocks that are remembered per endpoint; rounded up to a power of
     *     two, at least 8
     */
    public PrefixIndex(int blocksPerEndpoint) {
        if (blocksPerEndpoint < 1 || blocksPerEndpoint > 1 << 24) {
            throw new IllegalArgumentException(
                    "blocksPerEndpoint must be between 1 and 2^24 but is " + blocksPerEndpoint);
        }
        int wanted = (blocksPerEndpoint + BUCKET_SLOTS - 1) / BUCKET_SLOTS;
        this.buckets = wanted == 1 ? 1 : Integer.highestOneBit(wanted - 1) << 1;
    }

    /**
     * Applies cache events of an endpoint.
     *
     * @param id name of the endpoint
     * @param epochMs start time of its process; events of an earlier life are ignored, and a later
     *     life starts empty
     * @param events changes in order
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
     * Records that a prompt was sent to an endpoint, which will hold its blocks soon.
     *
     * @param id name of the endpoint
     * @param epochMs start time of its process as known when it was chosen
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
     * Estimates how many leading blocks of a prompt an endpoint holds. The hash of a block covers
     * all blocks before it, so the last known block counts even if events of earlier ones were
     * lost.
     *
     * @param id name of the endpoint
     * @param epochMs start time of its process; blocks of another life do not count
     * @param prefix hashes of the prompt
     * @return number of leading blocks, 0 if none is known
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
     * Forgets an endpoint.
     *
     * @param id name of the endpoint
     */
    public void forget(EndpointId id) {
        sets.remove(id);
    }

    /** Returns the memory taken by the hashes of all endpoints, in bytes. */
    public long sizeBytes() {
        return (long) sets.size() * buckets * (BUCKET_SLOTS + 1) * Long.BYTES;
    }

    private static long normalize(long hash) {
        long masked = hash & HASH_MASK;
        return masked == EMPTY ? 2 : masked;
    }

    /** Blocks of one life of an endpoint. Slot 0 of a bucket is the number of insertions. */
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
         * Tells whether any of a few blocks is known. Most endpoints hold nothing of a prompt, and
         * looking for each of its blocks there takes most of a decision. A short prefix shows in
         * the first blocks, a long one in the others even if events were lost.
         */
        boolean containsSample(PrefixHashes prefix) {
            int size = prefix.size();
            if (size <= SAMPLE_BLOCKS) {
                return true;
            }
            for (int i = 0; i < SAMPLE_BLOCKS / 2; i++) {
                int spread = size - 1 - i * size / SAMPLE_BLOCKS;
                if (contains(normalize(prefix.hash(i)))
                        || contains(normalize(prefix.hash(spread)))) {
                    return true;
                }
            }
            return false;
        }

        synchronized void add(long hash) {
            int start = bucket(hash);
            int free = 0;
            for (int i = 1; i <= BUCKET_SLOTS; i++) {
                long value = table.getPlain(start + i);
                if (value == hash) {
                    return;
                }
                if (value == EMPTY && free == 0) {
                    free = i;
                }
            }
            if (free == 0) {
                long insertions = table.getPlain(start);
                free = 1 + (int) (insertions % BUCKET_SLOTS);
                table.setPlain(start, insertions + 1);
            }
            table.setRelease(start + free, hash);
        }

        synchronized void remove(long hash) {
            int start = bucket(hash);
            for (int i = 1; i <= BUCKET_SLOTS; i++) {
                if (table.getPlain(start + i) == hash) {
                    table.setRelease(start + i, EMPTY);
                }
            }
        }
    }
}

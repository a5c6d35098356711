package io.sapphirestack.standins.engine;

import io.sapphirestack.core.membership.CacheEvent;
import io.sapphirestack.core.routing.PrefixHashes;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;

/**
 * Bounded cache of prompt blocks with least-recently-used eviction. Its events are published with a
 * delay, and a share of them is dropped. Thread-safe.
 */
final class PrefixCache {

    private final int capacityBlocks;
    private final long eventLagMs;
    private final double eventLossShare;
    private final Random random;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<PendingEvent> pendingEvents = new ArrayDeque<>();

    /**
     * Creates an empty cache.
     *
     * @param capacityBlocks maximum number of cached blocks
     * @param eventLagMs delay from a change until its event is published, in milliseconds
     * @param eventLossShare share of the events that are never published, 0 to 1
     * @param seed seed for the random choice of dropped events
     */
    PrefixCache(int capacityBlocks, long eventLagMs, double eventLossShare, long seed) {
        this.capacityBlocks = capacityBlocks;
        this.eventLagMs = eventLagMs;
        this.eventLossShare = eventLossShare;
        this.random = new Random(seed);
    }

    /**
     * Looks up the blocks of a prompt and stores those that are missing.
     *
     * @param prompt hashes of the prompt
     * @param nowMs current time
     * @return number of leading blocks that were already cached
     */
    synchronized int lookUpAndStore(PrefixHashes prompt, long nowMs) {
        int cachedBlocks = 0;
        while (cachedBlocks < prompt.size() && blocks.get(prompt.hash(cachedBlocks)) != null) {
            cachedBlocks++;
        }
        for (int i = cachedBlocks; i < prompt.size(); i++) {
            if (blocks.put(prompt.hash(i), Boolean.TRUE) == null) {
                recordEvent(CacheEvent.of(prompt.hash(i), true), nowMs);
            }
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() > capacityBlocks) {
            long evicted = oldest.next();
            oldest.remove();
            recordEvent(CacheEvent.of(evicted, false), nowMs);
        }
        return cachedBlocks;
    }

    /**
     * Returns and removes the events whose delay has passed.
     *
     * @param nowMs current time
     * @return events in order, without the dropped ones
     */
    synchronized List<CacheEvent> drainEvents(long nowMs) {
        List<CacheEvent> due = new ArrayList<>();
        while (!pendingEvents.isEmpty()
                && nowMs - pendingEvents.peekFirst().occurredAtMs() >= eventLagMs) {
            CacheEvent event = pendingEvents.removeFirst().event();
            if (random.nextDouble() >= eventLossShare) {
                due.add(event);
            }
        }
        return due;
    }

    private void recordEvent(CacheEvent event, long nowMs) {
        pendingEvents.addLast(new PendingEvent(event, nowMs));
    }

    private record PendingEvent(CacheEvent event, long occurredAtMs) {}
}

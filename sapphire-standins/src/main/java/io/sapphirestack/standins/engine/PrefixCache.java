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
 * Bounded cache of prompt blocks with least-recently-used eviction. Its events are published after
 * a lag and with gaps. Thread-safe.
 */
final class PrefixCache {

    private final int capacityBlocks;
    private final long eventLagMs;
    private final double eventLossShare;
    private final Random random;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final Deque<PendingEvent> pending = new ArrayDeque<>();

    /**
     * Creates an empty cache.
     *
     * @param capacityBlocks most blocks held
     * @param eventLagMs time from a change until its event is published, in milliseconds
     * @param eventLossShare share of the events that are never published, 0 to 1
     * @param seed seed of the choice of lost events
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
     * @return number of leading blocks that were cached before
     */
    synchronized int use(PrefixHashes prompt, long nowMs) {
        int cached = 0;
        while (cached < prompt.size() && blocks.get(prompt.hash(cached)) != null) {
            cached++;
        }
        for (int i = cached; i < prompt.size(); i++) {
            if (blocks.put(prompt.hash(i), Boolean.TRUE) == null) {
                record(CacheEvent.of(prompt.hash(i), true), nowMs);
            }
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() > capacityBlocks) {
            long evicted = oldest.next();
            oldest.remove();
            record(CacheEvent.of(evicted, false), nowMs);
        }
        return cached;
    }

    /**
     * Returns and removes the events that are due.
     *
     * @param nowMs current time
     * @return events in order, without the lost ones
     */
    synchronized List<CacheEvent> takeEvents(long nowMs) {
        List<CacheEvent> due = new ArrayList<>();
        while (!pending.isEmpty() && nowMs - pending.peekFirst().atMs() >= eventLagMs) {
            CacheEvent event = pending.removeFirst().event();
            if (random.nextDouble() >= eventLossShare) {
                due.add(event);
            }
        }
        return due;
    }

    private void record(CacheEvent event, long nowMs) {
        pending.addLast(new PendingEvent(event, nowMs));
    }

    private record PendingEvent(CacheEvent event, long atMs) {}
}

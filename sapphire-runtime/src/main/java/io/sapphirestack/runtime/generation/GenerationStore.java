package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.GenerationId;
import java.util.Collection;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Copies that this instance holds; finished ones are bounded in time and memory. Thread-safe. */
final class GenerationStore {

    private final ConcurrentHashMap<GenerationId, HeldGeneration> all = new ConcurrentHashMap<>();
    private final Set<HeldGeneration> open = ConcurrentHashMap.newKeySet();
    private final Queue<HeldGeneration> finished = new ConcurrentLinkedQueue<>();
    private final AtomicLong finishedBytes = new AtomicLong();
    private final long retentionMs;
    private final long maxFinishedBytes;

    GenerationStore(long retentionMs, long maxFinishedBytes) {
        this.retentionMs = retentionMs;
        this.maxFinishedBytes = maxFinishedBytes;
    }

    Optional<HeldGeneration> find(GenerationId id) {
        return Optional.ofNullable(all.get(id));
    }

    /** Adds a copy unless there is one; returns the one that is held. */
    HeldGeneration add(HeldGeneration held) {
        HeldGeneration previous = all.putIfAbsent(held.id(), held);
        if (previous == null) {
            open.add(held);
        }
        return previous == null ? held : previous;
    }

    void remove(HeldGeneration held) {
        all.remove(held.id(), held);
        open.remove(held);
    }

    /** Returns all copies, with the finished ones. */
    Collection<HeldGeneration> all() {
        return all.values();
    }

    /** Returns the copies that are not finished or that peers may not know to be finished. */
    Collection<HeldGeneration> open() {
        return open;
    }

    /** Notes that a copy is complete. */
    boolean noteFinished(HeldGeneration held, long nowMs) {
        if (!held.markFinished(nowMs)) {
            return false;
        }
        finishedBytes.addAndGet(held.sizeBytes());
        finished.add(held);
        return true;
    }

    /** Notes that a copy must be maintained again, because its owner failed. */
    void reopen(HeldGeneration held) {
        open.add(held);
    }

    /** Notes that nothing remains to be done for a finished copy. */
    void close(HeldGeneration held) {
        open.remove(held);
    }

    /** Drops finished copies that are too old or exceed the memory bound, oldest first. */
    void dropOldFinished(long nowMs) {
        HeldGeneration oldest = finished.peek();
        while (oldest != null
                && (nowMs - oldest.finishedAtMs() > retentionMs
                        || finishedBytes.get() > maxFinishedBytes)) {
            finished.remove(oldest);
            finishedBytes.addAndGet(-oldest.sizeBytes());
            remove(oldest);
            GenerationEvents.finishedDropped(oldest.id());
            oldest = finished.peek();
        }
    }
}

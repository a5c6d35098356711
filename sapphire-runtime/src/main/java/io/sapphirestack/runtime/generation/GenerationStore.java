package io.sapphirestack.runtime.generation;

import io.sapphirestack.core.id.GenerationId;
import java.util.Collection;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generations of which this instance holds a copy. Finished ones are limited in age and total size.
 * Thread-safe.
 */
final class GenerationStore {

    private final ConcurrentHashMap<GenerationId, LocalGeneration> all = new ConcurrentHashMap<>();
    private final Set<LocalGeneration> maintained = ConcurrentHashMap.newKeySet();
    private final Queue<LocalGeneration> finished = new ConcurrentLinkedQueue<>();
    private final AtomicLong finishedBytes = new AtomicLong();
    private final long retentionMs;
    private final long maxFinishedBytes;

    GenerationStore(long retentionMs, long maxFinishedBytes) {
        this.retentionMs = retentionMs;
        this.maxFinishedBytes = maxFinishedBytes;
    }

    Optional<LocalGeneration> find(GenerationId id) {
        return Optional.ofNullable(all.get(id));
    }

    /** Adds a copy unless the store has one of this generation; returns the copy in the store. */
    LocalGeneration add(LocalGeneration generation) {
        LocalGeneration previous = all.putIfAbsent(generation.id(), generation);
        if (previous == null) {
            maintained.add(generation);
        }
        return previous == null ? generation : previous;
    }

    void remove(LocalGeneration generation) {
        all.remove(generation.id(), generation);
        maintained.remove(generation);
    }

    /** Returns a view of all copies, including finished ones. */
    Collection<LocalGeneration> all() {
        return all.values();
    }

    /**
     * Returns a view of the copies that need maintenance: unfinished ones, and finished ones of
     * which peers may not know that they are finished.
     */
    Collection<LocalGeneration> maintained() {
        return maintained;
    }

    /**
     * Adds a copy to the finished ones if its output is complete.
     *
     * @return whether the copy is complete and was not among the finished ones before
     */
    boolean addFinished(LocalGeneration generation, long nowMs) {
        if (!generation.markFinished(nowMs)) {
            return false;
        }
        finishedBytes.addAndGet(generation.sizeBytes());
        finished.add(generation);
        return true;
    }

    /** Resumes the maintenance of a copy after this instance became its owner. */
    void resumeMaintenance(LocalGeneration generation) {
        maintained.add(generation);
    }

    /** Ends the maintenance of a finished copy. */
    void endMaintenance(LocalGeneration generation) {
        maintained.remove(generation);
    }

    /**
     * Drops the finished copies that exceed the retention time or the memory limit, oldest first.
     */
    void dropOldFinished(long nowMs) {
        LocalGeneration oldest = finished.peek();
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

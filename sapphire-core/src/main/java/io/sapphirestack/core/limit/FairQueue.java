package io.sapphirestack.core.limit;

import io.sapphirestack.core.id.AccountId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded queue that serves client accounts in proportion to their weights (start-time fair
 * queueing), and the entries of one account in FIFO order.
 *
 * <p>Each priority level doubles the weight. Priority is not strict, so that no account starves. An
 * account may hold at most as many entries as the queue has free places, so a single account never
 * takes more than half of the queue, and queued entries are never dropped. Thread-safe.
 *
 * @param <T> type of the queued work; {@link #remove} compares it with {@code equals}
 */
public final class FairQueue<T> {
    private static final int NORMAL_PRIORITY = 5;

    private final int capacity;
    private final Map<AccountId, Flow<T>> flows = new HashMap<>();
    private double virtualTime;
    private int size;
    private long arrivals;

    /**
     * Creates a queue.
     *
     * @param capacity maximum number of entries, positive
     * @throws IllegalArgumentException if the capacity is not positive
     */
    public FairQueue(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be positive but is " + capacity);
        }
        this.capacity = capacity;
    }

    private record Entry<T>(T work, double startTag, long arrival) {}

    private static final class Flow<T> {
        private final Deque<Entry<T>> entries = new ArrayDeque<>();
        private double finishTag;
    }

    /**
     * Adds work.
     *
     * @param account client account
     * @param weight weight from the account's record, positive
     * @param priority priority from the account's record, 0 to 9
     * @param work work to add
     * @return whether it was added; false if the account already holds as many entries as the queue
     *     has free places
     * @throws IllegalArgumentException if the weight is not positive
     */
    public synchronized boolean offer(AccountId account, double weight, int priority, T work) {
        Objects.requireNonNull(work, "work");
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight must be positive but is " + weight);
        }
        Flow<T> flow = flows.get(account);
        int held = flow == null ? 0 : flow.entries.size();
        if (held >= capacity - size) {
            return false;
        }
        if (flow == null) {
            flow = new Flow<>();
            flows.put(account, flow);
        }
        double start = Math.max(virtualTime, flow.finishTag);
        flow.finishTag = start + 1 / (weight * Math.pow(2, priority - NORMAL_PRIORITY));
        flow.entries.add(new Entry<>(work, start, arrivals++));
        size++;
        return true;
    }

    /**
     * Takes the next work that is ready. Work that is not ready, for example because no endpoint
     * with its model has a free slot, keeps its place and does not block other work.
     *
     * @param ready tests whether work can start now; called under the lock of the queue
     * @return the work, or empty if none is ready
     */
    public synchronized Optional<T> poll(Predicate<? super T> ready) {
        List<Flow<T>> order = new ArrayList<>(flows.values());
        order.removeIf(flow -> flow.entries.isEmpty());
        order.sort(
                Comparator.comparingDouble((Flow<T> f) -> f.entries.peek().startTag())
                        .thenComparingLong(f -> f.entries.peek().arrival()));
        for (Flow<T> flow : order) {
            for (Iterator<Entry<T>> it = flow.entries.iterator(); it.hasNext(); ) {
                Entry<T> entry = it.next();
                if (ready.test(entry.work())) {
                    it.remove();
                    size--;
                    virtualTime = Math.max(virtualTime, entry.startTag());
                    removeExpiredFlows();
                    return Optional.of(entry.work());
                }
            }
        }
        return Optional.empty();
    }

    /** Takes the next work; returns empty if the queue is empty. */
    public Optional<T> poll() {
        return poll(work -> true);
    }

    /**
     * Removes cancelled work.
     *
     * @param work work that was added
     * @return whether it was still queued
     */
    public synchronized boolean remove(T work) {
        for (Flow<T> flow : flows.values()) {
            for (Iterator<Entry<T>> it = flow.entries.iterator(); it.hasNext(); ) {
                if (it.next().work().equals(work)) {
                    it.remove();
                    size--;
                    removeExpiredFlows();
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the number of entries. */
    public synchronized int size() {
        return size;
    }

    /**
     * Returns the number of entries of one account.
     *
     * @param account client account
     * @return its number of queued entries
     */
    public synchronized int size(AccountId account) {
        Flow<T> flow = flows.get(account);
        return flow == null ? 0 : flow.entries.size();
    }

    /**
     * Removes empty flows whose finish tag has passed. Other empty flows are kept: without its
     * finish tag, an account that queues one entry at a time would always start at the current
     * virtual time and overtake all others.
     */
    private void removeExpiredFlows() {
        if (size == 0) {
            flows.clear();
            return;
        }
        flows.values().removeIf(flow -> flow.entries.isEmpty() && flow.finishTag <= virtualTime);
    }
}

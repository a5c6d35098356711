package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.replication.ReplicationEntry;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Tracks the commands that this voter has appended as leader until their results are known. Not
 * thread-safe; used on the voter thread only.
 */
final class SubmitTracker {

    private final Map<Long, Pending> pending = new TreeMap<>();

    void add(long index, long term, long deadlineMs, CompletableFuture<SubmitReply> reply) {
        Pending previous = pending.put(index, new Pending(term, deadlineMs, reply));
        if (previous != null) {
            previous.reply().complete(SubmitReply.unknown(""));
        }
    }

    void complete(ReplicationEntry entry, ControlResult result, String leader) {
        Pending submitted = pending.remove(entry.index());
        if (submitted != null) {
            // A different term means that another leader has overwritten the entry before it was
            // committed.
            submitted
                    .reply()
                    .complete(
                            submitted.term() == entry.term()
                                    ? SubmitReply.of(result, leader)
                                    : SubmitReply.notAppended(leader));
        }
    }

    void completeOverdue(long nowMs, long appliedIndex) {
        Iterator<Map.Entry<Long, Pending>> iterator = pending.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Long, Pending> entry = iterator.next();
            if (nowMs >= entry.getValue().deadlineMs() || entry.getKey() <= appliedIndex) {
                entry.getValue().reply().complete(SubmitReply.unknown(""));
                iterator.remove();
            }
        }
    }

    void failAll() {
        pending.values().forEach(entry -> entry.reply().complete(SubmitReply.unknown("")));
        pending.clear();
    }

    private record Pending(long term, long deadlineMs, CompletableFuture<SubmitReply> reply) {}
}

package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.replication.ReplicationEntry;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/** Commands that this voter appended and that wait for their result. Voter's thread only. */
final class SubmitTracker {

    private final Map<Long, Pending> pending = new TreeMap<>();

    void add(long index, long term, long deadlineMs, CompletableFuture<SubmitReply> reply) {
        Pending previous = pending.put(index, new Pending(term, deadlineMs, reply));
        if (previous != null) {
            previous.reply().complete(SubmitReply.unknown(""));
        }
    }

    void applied(ReplicationEntry entry, ControlResult result, String leader) {
        Pending done = pending.remove(entry.index());
        if (done != null) {
            // Another term means that another leader replaced the entry before it was committed.
            done.reply()
                    .complete(
                            done.term() == entry.term()
                                    ? SubmitReply.of(result, leader)
                                    : SubmitReply.notAppended(leader));
        }
    }

    void answerOverdue(long nowMs, long appliedIndex) {
        Iterator<Map.Entry<Long, Pending>> iterator = pending.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Long, Pending> next = iterator.next();
            if (nowMs >= next.getValue().deadlineMs() || next.getKey() <= appliedIndex) {
                next.getValue().reply().complete(SubmitReply.unknown(""));
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

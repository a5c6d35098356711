package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.AppendReply;
import io.sapphirestack.core.replication.ReplicationMessage.AppendRequest;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotChunk;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotReply;
import java.util.Optional;

/** Takes over entries and snapshots from the leader of the current term. Not thread-safe. */
final class FollowerLog {

    private final NodeState state;
    private final SnapshotReceiver receiver = new SnapshotReceiver();
    private Optional<StoredSnapshot> installed = Optional.empty();

    FollowerLog(NodeState state) {
        this.state = state;
    }

    AppendReply append(AppendRequest request) {
        // Entries up to a snapshot are committed, so they match those of every leader.
        boolean matches =
                request.prevIndex() < state.log.snapshotMeta().index()
                        || state.log.termAt(request.prevIndex()) == request.prevTerm();
        if (!matches) {
            return new AppendReply(state.term(), false, hint(request.prevIndex()), request.round());
        }
        request.entries().forEach(this::append);
        long lastMatch = request.prevIndex() + request.entries().size();
        state.raiseCommitIndex(Math.min(request.commitIndex(), lastMatch));
        return new AppendReply(state.term(), true, lastMatch, request.round());
    }

    ReplicationMessage addChunk(SnapshotChunk chunk) {
        long index = chunk.meta().index();
        if (state.log.termAt(index) == chunk.meta().term()) {
            // A delayed snapshot must not discard entries after it that were acknowledged.
            state.raiseCommitIndex(index);
        }
        if (index <= state.commitIndex()) {
            return new AppendReply(state.term(), true, state.commitIndex(), 0);
        }
        Optional<StoredSnapshot> complete = receiver.add(chunk);
        if (complete.isEmpty()) {
            return new SnapshotReply(state.term(), index, receiver.receivedBytes());
        }
        state.log.install(complete.get());
        state.queue.installed(complete.get());
        state.raiseCommitIndex(index);
        installed = complete;
        return new AppendReply(state.term(), true, index, 0);
    }

    /** Returns a snapshot that has replaced the log since the last call. */
    Optional<StoredSnapshot> takeInstalled() {
        Optional<StoredSnapshot> result = installed;
        installed = Optional.empty();
        return result;
    }

    private void append(ReplicationEntry entry) {
        if (entry.index() <= state.log.snapshotMeta().index()
                || state.log.termAt(entry.index()) == entry.term()) {
            return;
        }
        if (entry.index() <= state.log.lastIndex()) {
            if (entry.index() <= state.commitIndex()) {
                throw new IllegalStateException(
                        "leader would replace committed entry " + entry.index());
            }
            state.log.truncateFrom(entry.index());
            state.queue.truncated(entry.index());
        }
        state.log.append(entry);
    }

    /** Returns the entry that the leader should try next after a mismatch. */
    private long hint(long prevIndex) {
        if (prevIndex > state.log.lastIndex()) {
            return state.log.lastIndex();
        }
        long conflictTerm = state.log.termAt(prevIndex);
        long index = prevIndex;
        while (index > state.commitIndex() && state.log.termAt(index) == conflictTerm) {
            index--;
        }
        return index;
    }
}

package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.AppendReply;
import io.sapphirestack.core.replication.ReplicationMessage.AppendRequest;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotChunk;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotReply;
import java.util.Optional;

/**
 * Appends the entries and installs the snapshots that the leader of the current term sends. Not
 * thread-safe.
 */
final class FollowerReplication {

    private final NodeState state;
    private final SnapshotReceiver receiver = new SnapshotReceiver();
    private Optional<StoredSnapshot> installedSnapshot = Optional.empty();

    FollowerReplication(NodeState state) {
        this.state = state;
    }

    /**
     * Appends the entries of a request and replies to the leader. The reply to a heartbeat does not
     * wait for the disk, however slow it is; only what is durable counts as matching in it.
     */
    void reply(VoterMessage from, AppendRequest request) {
        AppendReply reply = append(request);
        boolean heartbeat = request.entries().isEmpty() && reply.success();
        if (heartbeat && state.queue.isHardStateDurable()) {
            long durableMatch = Math.min(reply.matchIndex(), state.queue.durableIndex());
            AppendReply durable = new AppendReply(reply.term(), true, durableMatch, reply.round());
            state.queue.send(state.envelope(from.fromVoter(), from.fromAddress(), durable));
        } else {
            state.queue.sendWhenDurable(
                    state.envelope(from.fromVoter(), from.fromAddress(), reply));
        }
    }

    private AppendReply append(AppendRequest request) {
        // Entries covered by a snapshot are committed, so they match the log of every leader.
        boolean matches =
                request.prevIndex() < state.log.snapshotMeta().index()
                        || state.log.termAt(request.prevIndex()) == request.prevTerm();
        if (!matches) {
            return new AppendReply(
                    state.term(), false, lastPossibleMatch(request.prevIndex()), request.round());
        }
        request.entries().forEach(this::append);
        long lastMatch = request.prevIndex() + request.entries().size();
        state.advanceCommitIndex(Math.min(request.commitIndex(), lastMatch));
        return new AppendReply(state.term(), true, lastMatch, request.round());
    }

    ReplicationMessage addSnapshotChunk(SnapshotChunk chunk) {
        long index = chunk.meta().index();
        if (state.log.termAt(index) == chunk.meta().term()) {
            // The log already contains this entry. Installing a delayed snapshot would discard
            // acknowledged entries after it.
            state.advanceCommitIndex(index);
        }
        if (index <= state.commitIndex()) {
            return new AppendReply(state.term(), true, state.commitIndex(), 0);
        }
        Optional<StoredSnapshot> complete = receiver.addChunk(chunk);
        if (complete.isEmpty()) {
            return new SnapshotReply(state.term(), index, receiver.receivedBytes());
        }
        state.log.install(complete.get());
        state.queue.onSnapshotInstalled(complete.get());
        state.advanceCommitIndex(index);
        installedSnapshot = complete;
        return new AppendReply(state.term(), true, index, 0);
    }

    /**
     * Returns the snapshot that replaced the log since the last call.
     *
     * @return the snapshot, or empty if none was installed
     */
    Optional<StoredSnapshot> takeInstalledSnapshot() {
        Optional<StoredSnapshot> result = installedSnapshot;
        installedSnapshot = Optional.empty();
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
                        "leader sent an entry that conflicts with committed entry "
                                + entry.index());
            }
            state.log.truncateFrom(entry.index());
            state.queue.onTruncated(entry.index());
        }
        state.log.append(entry);
    }

    /**
     * Returns the index of the last entry that may match, from which the leader continues. Skips
     * all entries of the conflicting term, so that the leader needs fewer round trips.
     */
    private long lastPossibleMatch(long prevIndex) {
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

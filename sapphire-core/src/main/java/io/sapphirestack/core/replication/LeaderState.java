package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.AppendReply;
import io.sapphirestack.core.replication.ReplicationMessage.AppendRequest;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotChunk;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotReply;
import io.sapphirestack.core.replication.ReplicationMessage.TimeoutNow;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/** Work of a leader during one term. Not thread-safe. */
final class LeaderState {

    private final NodeState state;
    private final List<ReadResult> readResults;
    private final Map<String, PeerProgress> peers = new TreeMap<>();
    private final TreeMap<Long, Long> roundSentMs = new TreeMap<>();
    private final List<PendingRead> reads = new ArrayList<>();
    private final long firstIndex;
    private final long electedAtMs;
    private long round;
    private long confirmedRound;
    private long confirmedSentMs;
    private long nextHeartbeatMs;
    private PeerProgress transferTarget;
    private long transferDeadlineMs;

    /**
     * Starts a term.
     *
     * @param electionStartMs when the votes were asked for. The first lease starts then, because a
     *     voter may have voted for a later candidate since it gave its vote.
     */
    LeaderState(NodeState state, List<ReadResult> readResults, long electionStartMs) {
        this.state = state;
        this.readResults = readResults;
        this.electedAtMs = state.clock.nowMs();
        this.confirmedSentMs = electionStartMs;
        this.firstIndex = state.log.lastIndex() + 1;
        trackVoters();
        state.appendLocal(new byte[0], Optional.empty());
        broadcastHeartbeat();
    }

    LeaderTerm term() {
        return new LeaderTerm(
                state.term(), electedAtMs, confirmedSentMs + state.settings.leaseMs());
    }

    Collection<PeerProgress> peers() {
        return peers.values();
    }

    boolean acceptsProposals() {
        return transferTarget == null;
    }

    /** Returns whether an entry of the own term is committed. */
    boolean hasCommitted() {
        return state.commitIndex() >= firstIndex;
    }

    /** Returns whether a majority answered recently. */
    boolean hasQuorum() {
        long lastMs = Math.max(electedAtMs, confirmedSentMs);
        return state.clock.nowMs() - lastMs <= state.settings.electionMaxMs();
    }

    boolean isActive(PeerProgress peer) {
        return state.clock.nowMs() - peer.lastAckMs <= state.settings.electionMaxMs();
    }

    void tick() {
        long now = state.clock.nowMs();
        boolean readWaits = hasCommitted() && reads.stream().anyMatch(read -> read.round == 0);
        if (now >= nextHeartbeatMs || readWaits) {
            broadcastHeartbeat();
        }
        for (PeerProgress peer : peers.values()) {
            if (peer.inFlight && now - peer.inFlightSinceMs >= 2 * state.settings.heartbeatMs()) {
                peer.inFlight = false;
            }
        }
        if (transferTarget != null && now >= transferDeadlineMs) {
            transferTarget = null;
        }
        LeaderMembership.tick(state, this);
        trackVoters();
    }

    void requestRead(long id) {
        reads.add(new PendingRead(id));
    }

    void learnerRequested(VoterMessage from) {
        if (!from.clusterId().isEmpty() && !from.clusterId().equals(state.clusterId())) {
            return;
        }
        long now = state.clock.nowMs();
        if (!peers.containsKey(from.fromVoter())) {
            peers.put(
                    from.fromVoter(),
                    new PeerProgress(
                            from.fromVoter(),
                            from.fromAddress(),
                            state.log.lastIndex() + 1,
                            now - state.settings.electionMaxMs() - 1));
        }
        peers.get(from.fromVoter()).lastRequestMs = now;
    }

    boolean transferTo(PeerProgress target) {
        transferTarget = target;
        transferDeadlineMs = state.clock.nowMs() + state.settings.electionMaxMs();
        continueTransfer();
        return true;
    }

    void proposeMembership(ClusterMembership next) {
        state.appendLocal(new byte[0], Optional.of(next));
        trackVoters();
    }

    /** Sends entries to every node that has none under way. */
    void flush() {
        for (PeerProgress peer : peers.values()) {
            if (!peer.inFlight && peer.nextIndex <= state.log.lastIndex()) {
                sendEntries(peer);
            }
        }
    }

    void onAppendReply(VoterMessage from, AppendReply reply) {
        PeerProgress peer = peers.get(from.fromVoter());
        if (peer == null || reply.term() != state.term()) {
            return;
        }
        peer.lastAckMs = state.clock.nowMs();
        peer.ackedRound = Math.max(peer.ackedRound, reply.round());
        if (reply.success()) {
            if (reply.matchIndex() > peer.matchIndex) {
                peer.matchIndex = reply.matchIndex();
                peer.inFlight = false;
            }
            peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
        } else if (reply.matchIndex() + 1 < peer.nextIndex) {
            peer.nextIndex = Math.max(peer.matchIndex + 1, reply.matchIndex() + 1);
            peer.inFlight = false;
        }
        confirmRounds();
        advanceCommit();
        continueTransfer();
    }

    void onSnapshotReply(VoterMessage from, SnapshotReply reply) {
        PeerProgress peer = peers.get(from.fromVoter());
        if (peer == null || reply.term() != state.term() || reply.index() != peer.snapshotIndex) {
            return;
        }
        peer.lastAckMs = state.clock.nowMs();
        // A receiver that restarted has lost the parts that it had received.
        peer.snapshotOffset = reply.receivedBytes();
        peer.inFlight = false;
    }

    void advanceCommit() {
        long index = quorumValue(state.queue.durableIndex(), peer -> peer.matchIndex);
        // Only entries of the own term are committed by counting; older ones follow with them.
        if (index > state.commitIndex() && state.log.termAt(index) == state.term()) {
            state.raiseCommitIndex(index);
            for (PeerProgress peer : peers.values()) {
                if (!peer.inFlight && peer.matchIndex == state.log.lastIndex()) {
                    sendHeartbeat(peer);
                }
            }
        }
    }

    void failReads() {
        reads.forEach(read -> readResults.add(new ReadResult(read.id, false, 0)));
        reads.clear();
    }

    private void trackVoters() {
        ClusterMembership membership = state.log.membership();
        long now = state.clock.nowMs();
        membership
                .voters()
                .forEach(
                        (id, address) -> {
                            if (!id.equals(state.voterId)) {
                                peers.computeIfAbsent(
                                        id,
                                        key ->
                                                new PeerProgress(
                                                        id,
                                                        address,
                                                        state.log.lastIndex() + 1,
                                                        now));
                            }
                        });
        long forgottenMs = now - 10 * state.settings.electionMaxMs();
        peers.values()
                .removeIf(
                        peer ->
                                !membership.contains(peer.voterId)
                                        && peer.lastRequestMs < forgottenMs);
    }

    private void broadcastHeartbeat() {
        long now = state.clock.nowMs();
        nextHeartbeatMs = now + state.settings.heartbeatMs();
        round++;
        roundSentMs.put(round, now);
        if (hasCommitted()) {
            for (PendingRead read : reads) {
                if (read.round == 0) {
                    read.round = round;
                    read.index = state.commitIndex();
                }
            }
        }
        peers.values().forEach(this::sendHeartbeat);
        confirmRounds();
    }

    private void confirmRounds() {
        long quorumRound = quorumValue(round, peer -> peer.ackedRound);
        if (quorumRound <= confirmedRound) {
            return;
        }
        confirmedRound = quorumRound;
        confirmedSentMs = Math.max(confirmedSentMs, roundSentMs.get(quorumRound));
        roundSentMs.headMap(quorumRound, false).clear();
        reads.removeIf(
                read -> {
                    boolean confirmed = read.round != 0 && read.round <= confirmedRound;
                    if (confirmed) {
                        readResults.add(new ReadResult(read.id, true, read.index));
                    }
                    return confirmed;
                });
    }

    private long quorumValue(long own, ToLongFunction<PeerProgress> value) {
        ClusterMembership membership = state.log.membership();
        long[] values =
                membership.voters().keySet().stream()
                        .mapToLong(
                                id ->
                                        id.equals(state.voterId)
                                                ? own
                                                : value.applyAsLong(peers.get(id)))
                        .sorted()
                        .toArray();
        return values[values.length - membership.majority()];
    }

    private void sendHeartbeat(PeerProgress peer) {
        long prevIndex = peer.nextIndex - 1;
        long prevTerm = state.log.termAt(prevIndex);
        if (prevTerm < 0) {
            // The entry is only in the snapshot; the beginning of the log always matches.
            prevIndex = 0;
            prevTerm = 0;
        }
        send(
                peer,
                new AppendRequest(
                        state.term(), prevIndex, prevTerm, List.of(), state.commitIndex(), round));
    }

    private void sendEntries(PeerProgress peer) {
        long prevTerm = state.log.termAt(peer.nextIndex - 1);
        if (prevTerm < 0) {
            sendSnapshotChunk(peer);
            return;
        }
        List<ReplicationEntry> entries =
                state.log.range(
                        peer.nextIndex, state.log.lastIndex(), state.settings.maxAppendBytes());
        send(
                peer,
                new AppendRequest(
                        state.term(),
                        peer.nextIndex - 1,
                        prevTerm,
                        entries,
                        state.commitIndex(),
                        round));
        peer.sent(state.clock.nowMs());
    }

    private void sendSnapshotChunk(PeerProgress peer) {
        SnapshotMeta meta = state.log.snapshotMeta();
        byte[] data = state.log.snapshotData();
        if (peer.snapshotIndex != meta.index()) {
            peer.snapshotIndex = meta.index();
            peer.snapshotOffset = 0;
        }
        int from = (int) Math.min(peer.snapshotOffset, data.length);
        int to = Math.min(data.length, from + state.settings.snapshotChunkBytes());
        send(
                peer,
                new SnapshotChunk(
                        state.term(), meta, from, data.length, Arrays.copyOfRange(data, from, to)));
        peer.sent(state.clock.nowMs());
    }

    private void continueTransfer() {
        if (transferTarget != null && transferTarget.matchIndex == state.log.lastIndex()) {
            send(transferTarget, new TimeoutNow(state.term()));
        }
    }

    private void send(PeerProgress peer, ReplicationMessage message) {
        state.queue.send(state.message(peer.voterId, peer.address, message));
    }

    private static final class PendingRead {
        private final long id;
        private long round;
        private long index;

        private PendingRead(long id) {
            this.id = id;
        }
    }
}

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

/**
 * State of a leader during one term: replication to its peers, heartbeats, commit index, lease,
 * confirmation of reads and transfer of leadership. Not thread-safe.
 */
final class LeaderState {

    private final NodeState state;
    private final List<ReadResult> readResults;
    private final Map<String, PeerProgress> peers = new TreeMap<>();

    /** Send time of each heartbeat round from the last confirmed one, on the monotonic clock. */
    private final TreeMap<Long, Long> roundSentMs = new TreeMap<>();

    private final List<PendingRead> pendingReads = new ArrayList<>();

    /** Index of the first entry of this term. */
    private final long firstIndexOfTerm;

    private final long electedAtMs;

    /** Number of the last heartbeat round that was sent. */
    private long round;

    /** Last heartbeat round that a majority acknowledged. */
    private long confirmedRound;

    /** Time from which the current lease runs, on the monotonic clock. */
    private long leaseStartMs;

    private long nextHeartbeatMs;

    /** Voter that the leadership is being transferred to, {@code null} for none. */
    private PeerProgress transferTarget;

    private long transferDeadlineMs;

    /**
     * Starts a term with an empty entry and a heartbeat to all voters.
     *
     * @param state shared state of the node
     * @param readResults list to which the results of reads are added
     * @param electionStartMs time at which the votes were requested, in milliseconds on the
     *     monotonic clock. The first lease runs from this time and not from the election, because a
     *     voter may have voted for a later candidate after it granted its vote.
     */
    LeaderState(NodeState state, List<ReadResult> readResults, long electionStartMs) {
        this.state = state;
        this.readResults = readResults;
        this.electedAtMs = state.clock.nowMs();
        this.leaseStartMs = electionStartMs;
        this.firstIndexOfTerm = state.log.lastIndex() + 1;
        updatePeers();
        state.appendLocal(new byte[0], Optional.empty());
        broadcastHeartbeat();
    }

    LeaderTerm leaderTerm() {
        return new LeaderTerm(state.term(), electedAtMs, leaseStartMs + state.settings.leaseMs());
    }

    Collection<PeerProgress> peers() {
        return peers.values();
    }

    boolean acceptsProposals() {
        return transferTarget == null;
    }

    /** Returns whether an entry of this term is committed. */
    boolean hasCommittedInTerm() {
        return state.commitIndex() >= firstIndexOfTerm;
    }

    /**
     * Returns whether a majority has acknowledged a heartbeat that was sent within the maximum
     * election timeout, or the election itself was within this time.
     */
    boolean hasQuorum() {
        long lastConfirmedMs = Math.max(electedAtMs, leaseStartMs);
        return state.clock.nowMs() - lastConfirmedMs <= state.settings.electionMaxMs();
    }

    /** Returns whether a peer has replied within the maximum election timeout. */
    boolean isActive(PeerProgress peer) {
        return state.clock.nowMs() - peer.lastAckMs <= state.settings.electionMaxMs();
    }

    void tick() {
        long now = state.clock.nowMs();
        boolean hasPendingRead =
                hasCommittedInTerm() && pendingReads.stream().anyMatch(read -> read.round == 0);
        if (now >= nextHeartbeatMs || hasPendingRead) {
            broadcastHeartbeat();
        }
        for (PeerProgress peer : peers.values()) {
            if (peer.isOverdue(now, 2 * state.settings.heartbeatMs())) {
                peer.inFlight = false;
            }
        }
        if (transferTarget != null && now >= transferDeadlineMs) {
            transferTarget = null;
        }
        MembershipChangePolicy.proposeChangeIfDue(state, this);
        updatePeers();
    }

    void requestRead(long id) {
        pendingReads.add(new PendingRead(id));
    }

    void onLearnerRequest(VoterMessage from) {
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

    /**
     * Starts the transfer of leadership to a voter; proposals are refused until it succeeds or
     * times out.
     *
     * @return {@code true}
     */
    boolean startTransfer(PeerProgress target) {
        transferTarget = target;
        transferDeadlineMs = state.clock.nowMs() + state.settings.electionMaxMs();
        continueTransfer();
        return true;
    }

    void proposeMembership(ClusterMembership next) {
        state.appendLocal(new byte[0], Optional.of(next));
        updatePeers();
    }

    /** Sends pending entries to every peer that has no entries in flight. */
    void sendPendingEntries() {
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
        advanceCommitIndex();
        continueTransfer();
    }

    void onSnapshotReply(VoterMessage from, SnapshotReply reply) {
        PeerProgress peer = peers.get(from.fromVoter());
        if (peer == null || reply.term() != state.term() || reply.index() != peer.snapshotIndex) {
            return;
        }
        peer.lastAckMs = state.clock.nowMs();
        // A receiver that restarted has lost the chunks it had received and starts again at 0.
        peer.snapshotOffset = reply.receivedBytes();
        peer.inFlight = false;
    }

    void advanceCommitIndex() {
        long index = quorumValue(state.queue.durableIndex(), peer -> peer.matchIndex);
        // Counting replicas commits only entries of the current term; entries of earlier terms are
        // committed along with them.
        if (index > state.commitIndex() && state.log.termAt(index) == state.term()) {
            state.advanceCommitIndex(index);
            for (PeerProgress peer : peers.values()) {
                if (!peer.inFlight && peer.matchIndex == state.log.lastIndex()) {
                    sendHeartbeat(peer);
                }
            }
        }
    }

    void failReads() {
        pendingReads.forEach(read -> readResults.add(new ReadResult(read.id, false, 0)));
        pendingReads.clear();
    }

    /** Adds new voters to the peers and drops learners that have stopped sending requests. */
    private void updatePeers() {
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
        long oldestRequestMs = now - 10 * state.settings.electionMaxMs();
        peers.values()
                .removeIf(
                        peer ->
                                !membership.contains(peer.voterId)
                                        && peer.lastRequestMs < oldestRequestMs);
    }

    private void broadcastHeartbeat() {
        long now = state.clock.nowMs();
        nextHeartbeatMs = now + state.settings.heartbeatMs();
        round++;
        roundSentMs.put(round, now);
        if (hasCommittedInTerm()) {
            for (PendingRead read : pendingReads) {
                if (read.round == 0) {
                    read.round = round;
                    read.index = state.commitIndex();
                }
            }
        }
        peers.values().forEach(this::sendHeartbeat);
        confirmRounds();
    }

    /** Extends the lease and confirms reads up to the last round that a majority acknowledged. */
    private void confirmRounds() {
        long quorumRound = quorumValue(round, peer -> peer.ackedRound);
        if (quorumRound <= confirmedRound) {
            return;
        }
        confirmedRound = quorumRound;
        leaseStartMs = Math.max(leaseStartMs, roundSentMs.get(quorumRound));
        roundSentMs.headMap(quorumRound, false).clear();
        pendingReads.removeIf(
                read -> {
                    boolean confirmed = read.round != 0 && read.round <= confirmedRound;
                    if (confirmed) {
                        readResults.add(new ReadResult(read.id, true, read.index));
                    }
                    return confirmed;
                });
    }

    /** Returns the highest value that a majority of the voters has reached. */
    private long quorumValue(long ownValue, ToLongFunction<PeerProgress> peerValue) {
        ClusterMembership membership = state.log.membership();
        long[] values =
                membership.voters().keySet().stream()
                        .mapToLong(
                                id ->
                                        id.equals(state.voterId)
                                                ? ownValue
                                                : peerValue.applyAsLong(peers.get(id)))
                        .sorted()
                        .toArray();
        return values[values.length - membership.majority()];
    }

    private void sendHeartbeat(PeerProgress peer) {
        long prevIndex = peer.nextIndex - 1;
        long prevTerm = state.log.termAt(prevIndex);
        if (prevTerm < 0) {
            // The entry is available only in the snapshot. Index 0 matches every log, so the
            // heartbeat is not rejected.
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
        peer.markInFlight(
                state.clock.nowMs(), entries.stream().mapToLong(ReplicationEntry::sizeBytes).sum());
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
        peer.markInFlight(state.clock.nowMs(), to - from);
    }

    private void continueTransfer() {
        if (transferTarget != null && transferTarget.matchIndex == state.log.lastIndex()) {
            send(transferTarget, new TimeoutNow(state.term()));
        }
    }

    private void send(PeerProgress peer, ReplicationMessage message) {
        state.queue.send(state.envelope(peer.voterId, peer.address, message));
    }

    /** Read request that waits for the confirmation of a heartbeat round. */
    private static final class PendingRead {
        private final long id;

        /** Round that has to be confirmed, 0 until one was sent. */
        private long round;

        /** Commit index at the time of that round. */
        private long index;

        private PendingRead(long id) {
            this.id = id;
        }
    }
}

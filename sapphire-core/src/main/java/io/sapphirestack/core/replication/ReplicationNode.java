package io.sapphirestack.core.replication;

import io.sapphirestack.core.replication.ReplicationMessage.AppendReply;
import io.sapphirestack.core.replication.ReplicationMessage.AppendRequest;
import io.sapphirestack.core.replication.ReplicationMessage.FormationQuery;
import io.sapphirestack.core.replication.ReplicationMessage.FormationReply;
import io.sapphirestack.core.replication.ReplicationMessage.LearnerRequest;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotChunk;
import io.sapphirestack.core.replication.ReplicationMessage.SnapshotReply;
import io.sapphirestack.core.replication.ReplicationMessage.TimeoutNow;
import io.sapphirestack.core.replication.ReplicationMessage.VoteReply;
import io.sapphirestack.core.replication.ReplicationMessage.VoteRequest;
import io.sapphirestack.core.time.MillisClock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One node of the replicated log, based on the Raft algorithm: leader election with pre-vote and
 * check-quorum, log replication, snapshots and membership changes.
 *
 * <p>The node performs no I/O. The owner calls {@link #tick}, {@link #receive}, {@link #propose}
 * and {@link #onPersisted}, and then processes the outputs: a batch to make durable, messages to
 * send, committed entries to apply, and results of reads. A message that depends on stored state is
 * returned only after {@link #onPersisted} reported it as durable. Deterministic; not thread-safe.
 */
public final class ReplicationNode {

    private final NodeState state;

    private final ClusterFormation formation;
    private final FollowerReplication followerReplication;
    private final ElectionTimer electionTimer;
    private final List<ReadResult> readResults = new ArrayList<>();
    private final Set<String> votes = new HashSet<>();

    private ReplicationRole role = ReplicationRole.FOLLOWER;
    private LeaderState leader;
    private String leaderAddress = "";
    private long lastLeaderContactMs;
    private long electionStartMs;
    private long appliedIndex;
    private Optional<StoredSnapshot> snapshotToRestore;

    /**
     * Creates a node from its stored state.
     *
     * @param settings addresses, timeouts and limits
     * @param clock monotonic clock
     * @param wallClock wall clock that provides the time of log entries
     * @param random source of randomness for timeouts and identities
     * @param stored content of the storage of the node
     */
    public ReplicationNode(
            ReplicationSettings settings,
            MillisClock clock,
            MillisClock wallClock,
            RandomGenerator random,
            StoredState stored) {
        Objects.requireNonNull(settings, "settings");
        this.state = new NodeState(settings, clock, wallClock, random, stored);
        this.formation = new ClusterFormation(state);
        this.followerReplication = new FollowerReplication(state);
        this.electionTimer = new ElectionTimer(state);
        this.snapshotToRestore = stored.snapshot();
        this.appliedIndex = state.log.snapshotMeta().index();
        this.lastLeaderContactMs = clock.nowMs() - settings.electionMinMs();
    }

    /** Processes timeouts; must be called at least every 20 ms. */
    public void tick() {
        long now = state.clock.nowMs();
        if (formation.tick(leader == null ? lastLeaderContactMs : now)) {
            electionTimer.expire();
        }
        if (leader != null) {
            leader.tick();
            if (!leader.hasQuorum()) {
                becomeFollower(state.term(), "");
            } else {
                leader.advanceCommitIndex();
            }
        } else if (electionTimer.isExpired() && state.isVoter()) {
            startElection(true, false);
        }
        stepDownIfRemoved();
    }

    /**
     * Handles a message from another node.
     *
     * @param message message; ignored if it is for another identity or from another cluster
     */
    public void receive(VoterMessage message) {
        if (message.fromVoter().equals(state.voterId)) {
            return;
        }
        if (message.message() instanceof FormationQuery query) {
            formation.onQuery(message, query);
        } else if (message.message() instanceof FormationReply reply) {
            formation.onReply(message, reply);
        } else if (message.message() instanceof LearnerRequest) {
            if (leader != null) {
                leader.onLearnerRequest(message);
            }
        } else if (isForThisNode(message)) {
            dispatch(message);
        }
    }

    /**
     * Appends a command if this node is the leader.
     *
     * @param command encoded command for the state machine
     * @return index of the entry; empty if not the leader or while transferring the leadership
     */
    public OptionalLong propose(byte[] command) {
        Objects.requireNonNull(command, "command");
        if (leader == null || !leader.acceptsProposals()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(state.appendLocal(command, Optional.empty()).index());
    }

    /**
     * Requests the confirmation of a linearizable read, which includes all changes accepted before.
     *
     * @param id identifier of the request in {@link #takeReadResults()}
     */
    public void requestRead(long id) {
        if (leader == null) {
            readResults.add(new ReadResult(id, false, 0));
        } else {
            leader.requestRead(id);
        }
    }

    /**
     * Reports that a batch is durable.
     *
     * @param batchNumber number of the batch that {@link #takeBatch()} returned last
     */
    public void onPersisted(long batchNumber) {
        boolean wasDurable = state.queue.isHardStateDurable();
        state.queue.onPersisted(batchNumber);
        if (!wasDurable && state.queue.isHardStateDurable()) {
            electionTimer.onHardStateDurable(state.clock.nowMs() - state.hardStateChangedMs());
        }
        if (leader != null) {
            leader.advanceCommitIndex();
        }
    }

    /**
     * Replaces log entries by a snapshot, provided that they are durable and applied.
     *
     * @param index last entry that the snapshot contains
     * @param data encoded state of the state machine
     * @return whether the snapshot was accepted
     */
    public boolean compact(long index, byte[] data) {
        if (index <= state.log.snapshotMeta().index()
                || index > appliedIndex
                || index > state.queue.durableIndex()) {
            return false;
        }
        state.queue.onCompacted(state.log.compact(index, data));
        return true;
    }

    /**
     * Starts the transfer of leadership to the active voter with the most up-to-date log.
     *
     * @return whether this node is the leader and another voter is active
     */
    public boolean transferLeadership() {
        if (leader == null) {
            return false;
        }
        LeaderState current = leader;
        return current.peers().stream()
                .filter(peer -> state.log.membership().contains(peer.voterId))
                .filter(current::isActive)
                .max(Comparator.comparingLong(peer -> peer.matchIndex))
                .map(current::startTransfer)
                .orElse(false);
    }

    /** Returns the next batch to make durable, or empty if there is none or one is outstanding. */
    public Optional<PersistBatch> takeBatch() {
        return state.queue.takeBatch();
    }

    /** Returns the messages that may be sent now. */
    public List<VoterMessage> drainMessages() {
        if (leader != null) {
            leader.sendPendingEntries();
        }
        return state.queue.drainMessages();
    }

    /** Returns the snapshot to restore the state machine from, or empty if there is no new one. */
    public Optional<StoredSnapshot> takeSnapshotToRestore() {
        Optional<StoredSnapshot> result = snapshotToRestore;
        snapshotToRestore = Optional.empty();
        return result;
    }

    /**
     * Returns the committed entries that were not returned before. Must be called after {@link
     * #takeSnapshotToRestore()}.
     *
     * @return entries in log order, possibly empty
     */
    public List<ReplicationEntry> takeCommitted() {
        List<ReplicationEntry> result =
                state.log.range(appliedIndex + 1, state.commitIndex(), Integer.MAX_VALUE);
        appliedIndex = Math.max(appliedIndex, state.commitIndex());
        return result;
    }

    /** Returns new results of reads; they are valid once all committed entries are applied. */
    public List<ReadResult> takeReadResults() {
        List<ReadResult> result = List.copyOf(readResults);
        readResults.clear();
        return result;
    }

    /** Returns the current role. */
    public ReplicationRole role() {
        return role;
    }

    /** Returns the term and lease of this node, or empty if it is not the leader. */
    public Optional<LeaderTerm> leadership() {
        return Optional.ofNullable(leader).map(LeaderState::leaderTerm);
    }

    /** Returns whether this node is the leader and has committed an entry of its term. */
    public boolean hasCommittedInTerm() {
        return leader != null && leader.hasCommittedInTerm();
    }

    /** Returns the address of the leader, or an empty string if it is not known. */
    public String leaderAddress() {
        return leader != null ? state.settings.address() : leaderAddress;
    }

    /** Returns the current term. */
    public long term() {
        return state.term();
    }

    /** Returns the identity of this node. */
    public String voterId() {
        return state.voterId;
    }

    /** Returns the identity of the cluster, or an empty string until it is known. */
    public String clusterId() {
        return state.clusterId();
    }

    /** Returns the index of the last entry that this node knows to be committed. */
    public long commitIndex() {
        return state.commitIndex();
    }

    /** Returns the index of the last log entry, or 0 if the log is empty. */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /** Returns the index of the last entry in the newest snapshot, or 0 if there is none. */
    public long snapshotIndex() {
        return state.log.snapshotMeta().index();
    }

    /** Returns whether the latest membership change is committed. */
    public boolean isMembershipCommitted() {
        return state.log.membershipIndex() <= state.commitIndex();
    }

    /** Returns the latest membership in the log, whether committed or not. */
    public ClusterMembership membership() {
        return state.log.membership();
    }

    /**
     * Accepts only messages to the current identity: a node that lost its storage has a new one and
     * never acknowledges entries or votes on behalf of the old one.
     */
    private boolean isForThisNode(VoterMessage message) {
        if (!message.toVoter().equals(state.voterId) || message.clusterId().isEmpty()) {
            return false;
        }
        if (!message.clusterId().equals(state.clusterId())) {
            if (!state.log.isEmpty()) {
                return false;
            }
            // Keeps term and vote, so that a change of the cluster allows no second vote in a term.
            state.setClusterId(message.clusterId());
        }
        return true;
    }

    private void dispatch(VoterMessage from) {
        ReplicationMessage message = from.message();
        if (message instanceof VoteRequest request) {
            onVoteRequest(from, request);
        } else if (message instanceof VoteReply reply) {
            onVoteReply(from, reply);
        } else if (message instanceof AppendRequest request) {
            onAppendRequest(from, request);
        } else if (message instanceof SnapshotChunk chunk) {
            onSnapshotChunk(from, chunk);
        } else if (message instanceof AppendReply reply) {
            if (!stepDownIfTermIsHigher(reply.term()) && leader != null) {
                leader.onAppendReply(from, reply);
                stepDownIfRemoved();
            }
        } else if (message instanceof SnapshotReply reply) {
            if (!stepDownIfTermIsHigher(reply.term()) && leader != null) {
                leader.onSnapshotReply(from, reply);
            }
        } else if (message instanceof TimeoutNow request
                && request.term() == state.term()
                && state.isVoter()
                && leader == null) {
            startElection(false, true);
        }
    }

    private void startElection(boolean preVote, boolean transfer) {
        votes.clear();
        votes.add(state.voterId);
        electionStartMs = state.clock.nowMs();
        if (!preVote) {
            electionTimer.onCandidacy();
        }
        electionTimer.reset();
        if (preVote) {
            role = ReplicationRole.PRE_CANDIDATE;
        } else {
            role = ReplicationRole.CANDIDATE;
            leaderAddress = "";
            state.setTermAndVote(state.term() + 1, state.voterId);
        }
        if (hasMajority()) {
            onElectionWon();
            return;
        }
        long term = preVote ? state.term() + 1 : state.term();
        long index = state.log.lastIndex();
        VoteRequest request = new VoteRequest(preVote, term, index, state.log.lastTerm(), transfer);
        state.log
                .membership()
                .voters()
                .forEach(
                        (id, address) -> {
                            if (!id.equals(state.voterId)) {
                                state.queue.sendWhenDurable(state.envelope(id, address, request));
                            }
                        });
    }

    private void onElectionWon() {
        if (role == ReplicationRole.PRE_CANDIDATE) {
            startElection(false, false);
        } else {
            role = ReplicationRole.LEADER;
            leader = new LeaderState(state, readResults, electionStartMs);
            electionTimer.onLeader();
        }
    }

    private boolean hasMajority() {
        return state.log.membership().hasMajority(votes);
    }

    private void onVoteRequest(VoterMessage from, VoteRequest request) {
        boolean hasActiveLeader =
                leader != null
                        || state.clock.nowMs() - lastLeaderContactMs
                                < state.settings.electionMinMs();
        // A partitioned node must not disrupt a leader that this node still has contact with.
        if (request.term() < state.term() || hasActiveLeader && !request.transfer()) {
            reply(from, new VoteReply(request.preVote(), state.term(), false));
            return;
        }
        boolean upToDate = state.log.isOtherLogUpToDate(request.lastIndex(), request.lastTerm());
        if (request.preVote()) {
            boolean granted = upToDate && request.term() > state.term();
            long term = granted ? request.term() : state.term();
            reply(from, new VoteReply(true, term, granted));
            return;
        }
        stepDownIfTermIsHigher(request.term());
        boolean granted =
                upToDate
                        && leader == null
                        && (state.votedFor().isEmpty()
                                || state.votedFor().equals(from.fromVoter()));
        if (granted) {
            if (state.votedFor().isEmpty()) {
                state.setTermAndVote(request.term(), from.fromVoter());
            }
            electionTimer.reset();
        }
        reply(from, new VoteReply(false, state.term(), granted));
    }

    private void onVoteReply(VoterMessage from, VoteReply reply) {
        boolean grantedPreVote = reply.preVote() && reply.granted();
        if (!grantedPreVote && stepDownIfTermIsHigher(reply.term()) || !reply.granted()) {
            return;
        }
        boolean expected =
                reply.preVote()
                        ? role == ReplicationRole.PRE_CANDIDATE && reply.term() == state.term() + 1
                        : role == ReplicationRole.CANDIDATE && reply.term() == state.term();
        if (expected) {
            votes.add(from.fromVoter());
            if (hasMajority()) {
                onElectionWon();
            }
        }
    }

    private void onAppendRequest(VoterMessage from, AppendRequest request) {
        if (request.term() < state.term()) {
            // Round 0: the round of an older term must not confirm a round of the current leader.
            reply(from, new AppendReply(state.term(), false, state.log.lastIndex(), 0));
            return;
        }
        acceptLeader(from, request.term());
        followerReplication.reply(from, request);
    }

    private void onSnapshotChunk(VoterMessage from, SnapshotChunk chunk) {
        if (chunk.term() < state.term()) {
            reply(from, new SnapshotReply(state.term(), chunk.meta().index(), 0));
            return;
        }
        acceptLeader(from, chunk.term());
        reply(from, followerReplication.addSnapshotChunk(chunk));
        followerReplication
                .takeInstalledSnapshot()
                .ifPresent(
                        snapshot -> {
                            appliedIndex = snapshot.meta().index();
                            snapshotToRestore = Optional.of(snapshot);
                        });
    }

    private void acceptLeader(VoterMessage from, long term) {
        becomeFollower(term, from.fromAddress());
        lastLeaderContactMs = state.clock.nowMs();
        electionTimer.onLeader();
        electionTimer.reset();
    }

    private boolean stepDownIfTermIsHigher(long term) {
        if (term <= state.term()) {
            return false;
        }
        becomeFollower(term, "");
        return true;
    }

    private void stepDownIfRemoved() {
        if (leader != null && !state.isVoter() && isMembershipCommitted()) {
            becomeFollower(state.term(), "");
        }
    }

    private void becomeFollower(long term, String address) {
        if (term > state.term()) {
            state.setTermAndVote(term, "");
        }
        if (leader != null) {
            leader.failReads();
            leader = null;
            electionTimer.reset();
        }
        role = ReplicationRole.FOLLOWER;
        leaderAddress = address;
    }

    private void reply(VoterMessage to, ReplicationMessage message) {
        state.queue.sendWhenDurable(state.envelope(to.fromVoter(), to.fromAddress(), message));
    }
}

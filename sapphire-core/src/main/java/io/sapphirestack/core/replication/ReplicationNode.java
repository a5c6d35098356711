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
 * One node of the replicated log: leader election with pre-vote and check-quorum, replication,
 * snapshots and changes of the voters, without I/O.
 *
 * <p>The owner feeds it with {@link #tick}, {@link #receive}, {@link #propose} and {@link
 * #persisted}, and then takes its outputs: a batch to make durable, messages to send, committed
 * entries to apply, and results of reads. A message that depends on stored state is handed out only
 * after {@link #persisted} reported that state. Equal inputs give equal outputs. Not thread-safe.
 */
public final class ReplicationNode {

    private final NodeState state;

    private final ClusterFormation formation;
    private final FollowerLog followerLog;
    private final List<ReadResult> readResults = new ArrayList<>();
    private final Set<String> votes = new HashSet<>();

    private ReplicationRole role = ReplicationRole.FOLLOWER;
    private LeaderState leader;
    private String leaderAddress = "";
    private long lastLeaderContactMs;
    private long electionDeadlineMs;
    private long electionStartMs;
    private long appliedIndex;
    private Optional<StoredSnapshot> restore;

    /**
     * Creates a node from its stored state.
     *
     * @param settings addresses and times
     * @param clock monotonic clock
     * @param wallClock clock that stamps entries
     * @param random source of randomness for timeouts and identities
     * @param stored content of the node's storage
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
        this.followerLog = new FollowerLog(state);
        this.restore = stored.snapshot();
        this.appliedIndex = state.log.snapshotMeta().index();
        this.lastLeaderContactMs = clock.nowMs() - settings.electionMinMs();
        resetElectionTimer();
    }

    /** Lets time pass; to be called at least every 20 ms. */
    public void tick() {
        long now = state.clock.nowMs();
        if (formation.tick(leader == null ? lastLeaderContactMs : now)) {
            electionDeadlineMs = now;
        }
        if (leader != null) {
            leader.tick();
            if (!leader.hasQuorum()) {
                becomeFollower(state.term(), "");
            } else {
                leader.advanceCommit();
            }
        } else if (now >= electionDeadlineMs && state.isVoter()) {
            startElection(true, false);
        }
        stepDownIfRemoved();
    }

    /**
     * Handles a message from another node.
     *
     * @param message message; dropped if it is for another identity or from another cluster
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
                leader.learnerRequested(message);
            }
        } else if (isForThisNode(message)) {
            dispatch(message);
        }
    }

    /**
     * Appends a command if this node is the leader.
     *
     * @param command command to the state machine
     * @return index of the entry, or empty if the node does not accept commands now
     */
    public OptionalLong propose(byte[] command) {
        Objects.requireNonNull(command, "command");
        if (leader == null || !leader.acceptsProposals()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(state.appendLocal(command, Optional.empty()).index());
    }

    /**
     * Asks for a confirmation that the state can be read without missing an accepted change.
     *
     * @param id number that identifies the request in {@link #takeReads()}
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
     * @param batchNumber number of the batch that was taken last
     */
    public void persisted(long batchNumber) {
        state.queue.persisted(batchNumber);
        if (leader != null) {
            leader.advanceCommit();
        }
    }

    /**
     * Replaces entries by a snapshot, if they are durable and applied.
     *
     * @param index last entry that the snapshot contains
     * @param data encoded state of the state machine
     * @return whether the snapshot was taken over
     */
    public boolean compact(long index, byte[] data) {
        if (index <= state.log.snapshotMeta().index()
                || index > appliedIndex
                || index > state.queue.durableIndex()) {
            return false;
        }
        state.queue.compacted(state.log.compact(index, data));
        return true;
    }

    /**
     * Asks the most up-to-date active voter to take over.
     *
     * @return whether a voter was asked
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
                .map(current::transferTo)
                .orElse(false);
    }

    /** Returns the next batch to make durable, or empty if there is none or one is outstanding. */
    public Optional<PersistBatch> takeBatch() {
        return state.queue.takeBatch();
    }

    /** Returns the messages that may be sent now. */
    public List<VoterMessage> drainMessages() {
        if (leader != null) {
            leader.flush();
        }
        return state.queue.drainMessages();
    }

    /** Returns a snapshot that replaces the state of the state machine, if there is one. */
    public Optional<StoredSnapshot> takeRestore() {
        Optional<StoredSnapshot> result = restore;
        restore = Optional.empty();
        return result;
    }

    /**
     * Returns committed entries that were not returned before; to be called after {@link
     * #takeRestore()}.
     *
     * @return entries in log order
     */
    public List<ReplicationEntry> takeCommitted() {
        List<ReplicationEntry> result =
                state.log.range(appliedIndex + 1, state.commitIndex(), Integer.MAX_VALUE);
        appliedIndex = Math.max(appliedIndex, state.commitIndex());
        return result;
    }

    /** Returns results of reads; valid once all committed entries are applied. */
    public List<ReadResult> takeReads() {
        List<ReadResult> result = List.copyOf(readResults);
        readResults.clear();
        return result;
    }

    /** Returns the current role. */
    public ReplicationRole role() {
        return role;
    }

    /** Returns the leadership of this node with its lease, or empty if it does not lead. */
    public Optional<LeaderTerm> leadership() {
        return Optional.ofNullable(leader).map(LeaderState::term);
    }

    /** Returns whether this node leads and has committed an entry of its own term. */
    public boolean hasCommittedInTerm() {
        return leader != null && leader.hasCommitted();
    }

    /** Returns the address of the leader as far as it is known, else an empty string. */
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

    /** Returns the identity of the cluster, empty until it is known. */
    public String clusterId() {
        return state.clusterId();
    }

    /** Returns the last committed entry that this node knows of. */
    public long commitIndex() {
        return state.commitIndex();
    }

    /** Returns the last entry of the log. */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /** Returns the last entry that the newest snapshot contains. */
    public long snapshotIndex() {
        return state.log.snapshotMeta().index();
    }

    /** Returns whether the newest change of the voters is committed. */
    public boolean isMembershipCommitted() {
        return state.log.membershipIndex() <= state.commitIndex();
    }

    /** Returns the voters in the newest entry that names them, committed or not. */
    public ClusterMembership membership() {
        return state.log.membership();
    }

    /**
     * Messages that name an identity are for that identity only: a node whose storage was lost has
     * a new one and never answers for the entries and votes of the old one.
     */
    private boolean isForThisNode(VoterMessage message) {
        if (!message.toVoter().equals(state.voterId) || message.clusterId().isEmpty()) {
            return false;
        }
        if (!message.clusterId().equals(state.clusterId())) {
            if (!state.log.isEmpty()) {
                return false;
            }
            // Term and vote stay, so that changing the cluster never allows a second vote in a
            // term.
            state.adoptCluster(message.clusterId());
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
            onAppend(from, request);
        } else if (message instanceof SnapshotChunk chunk) {
            onSnapshotChunk(from, chunk);
        } else if (message instanceof AppendReply reply) {
            if (!stepDownIfHigher(reply.term()) && leader != null) {
                leader.onAppendReply(from, reply);
                stepDownIfRemoved();
            }
        } else if (message instanceof SnapshotReply reply) {
            if (!stepDownIfHigher(reply.term()) && leader != null) {
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
        resetElectionTimer();
        if (preVote) {
            role = ReplicationRole.PRE_CANDIDATE;
        } else {
            role = ReplicationRole.CANDIDATE;
            leaderAddress = "";
            state.raiseTerm(state.term() + 1, state.voterId);
        }
        if (hasMajority()) {
            electionWon();
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
                                state.queue.sendWhenDurable(state.message(id, address, request));
                            }
                        });
    }

    private void electionWon() {
        if (role == ReplicationRole.PRE_CANDIDATE) {
            startElection(false, false);
        } else {
            role = ReplicationRole.LEADER;
            leader = new LeaderState(state, readResults, electionStartMs);
        }
    }

    private boolean hasMajority() {
        return state.log.membership().hasMajority(votes);
    }

    private void onVoteRequest(VoterMessage from, VoteRequest request) {
        boolean hearsLeader =
                leader != null
                        || state.clock.nowMs() - lastLeaderContactMs
                                < state.settings.electionMinMs();
        // A node that lost contact must not interrupt a leader that the others still hear.
        if (request.term() < state.term() || hearsLeader && !request.transfer()) {
            reply(from, new VoteReply(request.preVote(), state.term(), false));
            return;
        }
        boolean upToDate = state.log.isCoveredBy(request.lastIndex(), request.lastTerm());
        if (request.preVote()) {
            boolean granted = upToDate && request.term() > state.term();
            long term = granted ? request.term() : state.term();
            reply(from, new VoteReply(true, term, granted));
            return;
        }
        stepDownIfHigher(request.term());
        boolean granted =
                upToDate
                        && leader == null
                        && (state.votedFor().isEmpty()
                                || state.votedFor().equals(from.fromVoter()));
        if (granted) {
            if (state.votedFor().isEmpty()) {
                state.raiseTerm(request.term(), from.fromVoter());
            }
            resetElectionTimer();
        }
        reply(from, new VoteReply(false, state.term(), granted));
    }

    private void onVoteReply(VoterMessage from, VoteReply reply) {
        boolean grantedPreVote = reply.preVote() && reply.granted();
        if (!grantedPreVote && stepDownIfHigher(reply.term()) || !reply.granted()) {
            return;
        }
        boolean expected =
                reply.preVote()
                        ? role == ReplicationRole.PRE_CANDIDATE && reply.term() == state.term() + 1
                        : role == ReplicationRole.CANDIDATE && reply.term() == state.term();
        if (expected) {
            votes.add(from.fromVoter());
            if (hasMajority()) {
                electionWon();
            }
        }
    }

    private void onAppend(VoterMessage from, AppendRequest request) {
        if (request.term() < state.term()) {
            // The round belongs to an older term and must not confirm one of the current leader.
            reply(from, new AppendReply(state.term(), false, state.log.lastIndex(), 0));
            return;
        }
        acceptLeader(from, request.term());
        reply(from, followerLog.append(request));
    }

    private void onSnapshotChunk(VoterMessage from, SnapshotChunk chunk) {
        if (chunk.term() < state.term()) {
            reply(from, new SnapshotReply(state.term(), chunk.meta().index(), 0));
            return;
        }
        acceptLeader(from, chunk.term());
        reply(from, followerLog.addChunk(chunk));
        followerLog
                .takeInstalled()
                .ifPresent(
                        snapshot -> {
                            appliedIndex = snapshot.meta().index();
                            restore = Optional.of(snapshot);
                        });
    }

    private void acceptLeader(VoterMessage from, long term) {
        becomeFollower(term, from.fromAddress());
        lastLeaderContactMs = state.clock.nowMs();
        resetElectionTimer();
    }

    private boolean stepDownIfHigher(long term) {
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
            state.raiseTerm(term, "");
        }
        if (leader != null) {
            leader.failReads();
            leader = null;
            resetElectionTimer();
        }
        role = ReplicationRole.FOLLOWER;
        leaderAddress = address;
    }

    private void resetElectionTimer() {
        ReplicationSettings settings = state.settings;
        electionDeadlineMs =
                state.clock.nowMs()
                        + state.random.nextLong(
                                settings.electionMinMs(), settings.electionMaxMs() + 1);
    }

    private void reply(VoterMessage to, ReplicationMessage message) {
        state.queue.sendWhenDurable(state.message(to.fromVoter(), to.fromAddress(), message));
    }
}

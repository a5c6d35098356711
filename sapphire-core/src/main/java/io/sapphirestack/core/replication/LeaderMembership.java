package io.sapphirestack.core.replication;

import java.util.Optional;

/**
 * Decides when the leader changes the voters. Each change adds or removes one voter, so that the
 * majorities before and after it always share a node.
 *
 * <p>A caught-up learner replaces the lost identity of its address in two such changes. Exchanging
 * both identities in one entry would not be safe: of voters a, b, c, the old majority a, c and the
 * new majority a2, b share no node, and the lost identity may still run if it was only isolated.
 */
final class LeaderMembership {

    /** Entries that a learner may lag behind when it becomes a voter. */
    private static final long MAX_LAG_ENTRIES = 64;

    /** Silence after which a voter that is not needed for the majority is removed. */
    private static final long REMOVE_AFTER_MS = 2_500;

    /** Most voters; each one takes part in every commit. */
    private static final int MAX_VOTERS = 9;

    private LeaderMembership() {}

    static void tick(NodeState state, LeaderState leader) {
        if (!leader.hasCommitted() || state.log.membershipIndex() > state.commitIndex()) {
            return;
        }
        ClusterMembership membership = state.log.membership();
        for (PeerProgress learner : leader.peers()) {
            if (membership.contains(learner.voterId)
                    || !leader.isActive(learner)
                    || learner.matchIndex < state.log.membershipIndex()
                    || learner.matchIndex + MAX_LAG_ENTRIES < state.log.lastIndex()) {
                continue;
            }
            Optional<String> old = membership.voterAt(learner.address);
            Optional<ClusterMembership> next =
                    old.isPresent()
                            ? removal(state, leader, old.get())
                            : addition(state, membership, learner);
            if (next.isPresent()) {
                leader.proposeMembership(next.get());
                return;
            }
        }
        lostVoter(state, leader)
                .flatMap(lost -> removal(state, leader, lost))
                .ifPresent(leader::proposeMembership);
    }

    /**
     * Finds a voter that has been silent for long, if there are more voters than have to remain.
     * Without it fewer of the others form a majority, so the next loss can be borne again.
     */
    private static Optional<String> lostVoter(NodeState state, LeaderState leader) {
        ClusterMembership membership = state.log.membership();
        if (membership.voters().size() <= state.settings.growth().minVoters()) {
            return Optional.empty();
        }
        long silentSinceMs = state.clock.nowMs() - REMOVE_AFTER_MS;
        return leader.peers().stream()
                .filter(peer -> membership.contains(peer.voterId))
                .filter(peer -> peer.lastAckMs < silentSinceMs)
                .map(peer -> peer.voterId)
                .findFirst();
    }

    private static Optional<ClusterMembership> removal(
            NodeState state, LeaderState leader, String old) {
        ClusterMembership next = state.log.membership().without(old);
        boolean oldActive =
                leader.peers().stream()
                        .anyMatch(peer -> peer.voterId.equals(old) && leader.isActive(peer));
        long active =
                leader.peers().stream()
                        .filter(peer -> next.contains(peer.voterId) && leader.isActive(peer))
                        .count();
        if (next.contains(state.voterId)) {
            active++;
        }
        return oldActive || active < next.majority() ? Optional.empty() : Optional.of(next);
    }

    private static Optional<ClusterMembership> addition(
            NodeState state, ClusterMembership membership, PeerProgress learner) {
        boolean welcome =
                state.settings.growth().isOpen()
                        ? membership.voters().size() < MAX_VOTERS
                        : state.settings.voterAddresses().contains(learner.address);
        return welcome
                ? Optional.of(membership.with(learner.voterId, learner.address))
                : Optional.empty();
    }
}

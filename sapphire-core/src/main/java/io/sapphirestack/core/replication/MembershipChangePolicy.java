package io.sapphirestack.core.replication;

import java.util.Optional;

/**
 * Decides when the leader proposes a change of the voters. Each change adds or removes exactly one
 * voter, so that any majority before the change and any majority after it have a node in common.
 *
 * <p>A node that restarts with an empty disk has a new identity at the same address. Once it has
 * caught up as a learner, two such changes replace the old identity by the new one. Replacing it in
 * a single entry would not be safe: with voters a, b, c and a replaced by a2, the old majority a, c
 * and the new majority a2, b have no node in common, and a may still be running behind a network
 * partition.
 */
final class MembershipChangePolicy {

    /** Maximum number of entries that a learner may lag behind the leader to become a voter. */
    private static final long MAX_LAG_ENTRIES = 64;

    /** Time since its last reply after which a voter may be removed, in milliseconds. */
    private static final long REMOVE_AFTER_MS = 2_500;

    /** Maximum number of voters; each voter takes part in every commit. */
    private static final int MAX_VOTERS = 9;

    private MembershipChangePolicy() {}

    static void proposeChangeIfDue(NodeState state, LeaderState leader) {
        if (!leader.hasCommittedInTerm() || state.log.membershipIndex() > state.commitIndex()) {
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
            Optional<String> oldVoterId = membership.voterAt(learner.address);
            Optional<ClusterMembership> next =
                    oldVoterId.isPresent()
                            ? membershipWithout(state, leader, oldVoterId.get())
                            : membershipWith(state, membership, learner);
            if (next.isPresent()) {
                leader.proposeMembership(next.get());
                return;
            }
        }
        findUnreachableVoter(state, leader)
                .flatMap(voterId -> membershipWithout(state, leader, voterId))
                .ifPresent(leader::proposeMembership);
    }

    /**
     * Finds a voter that has not replied for {@link #REMOVE_AFTER_MS}, provided that the membership
     * is above its minimum size. Removing it lowers the majority, so that the cluster tolerates the
     * next failure again.
     */
    private static Optional<String> findUnreachableVoter(NodeState state, LeaderState leader) {
        ClusterMembership membership = state.log.membership();
        if (membership.voters().size() <= state.settings.voterPolicy().minVoters()) {
            return Optional.empty();
        }
        long oldestAckMs = state.clock.nowMs() - REMOVE_AFTER_MS;
        return leader.peers().stream()
                .filter(peer -> membership.contains(peer.voterId))
                .filter(peer -> peer.lastAckMs < oldestAckMs)
                .map(peer -> peer.voterId)
                .findFirst();
    }

    /**
     * Returns the membership without a voter, or empty if the voter is active or the remaining
     * voters have no active majority.
     */
    private static Optional<ClusterMembership> membershipWithout(
            NodeState state, LeaderState leader, String voterId) {
        ClusterMembership next = state.log.membership().withoutVoter(voterId);
        boolean voterActive =
                leader.peers().stream()
                        .anyMatch(peer -> peer.voterId.equals(voterId) && leader.isActive(peer));
        long activeCount =
                leader.peers().stream()
                        .filter(peer -> next.contains(peer.voterId) && leader.isActive(peer))
                        .count();
        if (next.contains(state.voterId)) {
            activeCount++;
        }
        return voterActive || activeCount < next.majority() ? Optional.empty() : Optional.of(next);
    }

    /** Returns the membership with a learner, or empty if it may not become a voter. */
    private static Optional<ClusterMembership> membershipWith(
            NodeState state, ClusterMembership membership, PeerProgress learner) {
        boolean admissible =
                state.settings.voterPolicy().admitsNewVoters()
                        ? membership.voters().size() < MAX_VOTERS
                        : state.settings.voterAddresses().contains(learner.address);
        return admissible
                ? Optional.of(membership.withVoter(learner.voterId, learner.address))
                : Optional.empty();
    }
}

package io.sapphirestack.core.replication;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Set of voters of the replicated log.
 *
 * @param voters address ({@code host:port}) of each voter by its identity
 */
public record ClusterMembership(Map<String, String> voters) {

    /** Empty membership of a node that has not joined a cluster yet. */
    public static final ClusterMembership NONE = new ClusterMembership(Map.of());

    /** Makes an immutable copy of the map. */
    public ClusterMembership {
        voters = Map.copyOf(voters);
    }

    /**
     * Returns whether a node is a voter.
     *
     * @param voterId identity of a node
     * @return whether the node is a voter
     */
    public boolean contains(String voterId) {
        return voters.containsKey(voterId);
    }

    /** Returns the number of voters that form a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns whether a set of nodes contains a majority of the voters.
     *
     * @param voterIds identities of nodes; duplicates and nodes that are not voters are not counted
     * @return whether the set contains a majority
     */
    public boolean hasMajority(Collection<String> voterIds) {
        return voterIds.stream().distinct().filter(this::contains).count() >= majority();
    }

    /**
     * Finds the voter at an address.
     *
     * @param address {@code host:port}
     * @return identity of the voter, or empty if there is none
     */
    public Optional<String> voterAt(String address) {
        return voters.entrySet().stream()
                .filter(entry -> entry.getValue().equals(address))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns a membership with one more voter; this membership is not changed.
     *
     * @param voterId identity of the voter to add
     * @param address {@code host:port}
     * @return the new membership
     */
    public ClusterMembership withVoter(String voterId, String address) {
        Map<String, String> next = new TreeMap<>(voters);
        next.put(voterId, address);
        return new ClusterMembership(next);
    }

    /**
     * Returns a membership without one voter; this membership is not changed.
     *
     * @param voterId identity of the voter to remove
     * @return the new membership
     */
    public ClusterMembership withoutVoter(String voterId) {
        Map<String, String> next = new TreeMap<>(voters);
        next.remove(voterId);
        return new ClusterMembership(next);
    }
}

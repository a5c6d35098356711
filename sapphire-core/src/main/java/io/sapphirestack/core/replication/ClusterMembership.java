package io.sapphirestack.core.replication;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Voters of the replicated log.
 *
 * @param voters address ({@code host:port}) of each voter by its identity
 */
public record ClusterMembership(Map<String, String> voters) {

    /** Membership of a node that does not know its cluster yet. */
    public static final ClusterMembership NONE = new ClusterMembership(Map.of());

    /** Copies the map. */
    public ClusterMembership {
        voters = Map.copyOf(voters);
    }

    /**
     * Tells whether an identity is a voter.
     *
     * @param voterId identity of a node
     * @return whether it is a voter
     */
    public boolean contains(String voterId) {
        return voters.containsKey(voterId);
    }

    /** Returns the number of voters that form a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Tells whether a set of nodes contains a majority of the voters.
     *
     * @param voterIds identities of nodes; those that are no voters do not count
     * @return whether a majority is among them
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
     * Adds one voter.
     *
     * @param voterId identity
     * @param address {@code host:port}
     * @return the new membership
     */
    public ClusterMembership with(String voterId, String address) {
        Map<String, String> next = new TreeMap<>(voters);
        next.put(voterId, address);
        return new ClusterMembership(next);
    }

    /**
     * Removes one voter.
     *
     * @param voterId identity
     * @return the new membership
     */
    public ClusterMembership without(String voterId) {
        Map<String, String> next = new TreeMap<>(voters);
        next.remove(voterId);
        return new ClusterMembership(next);
    }
}

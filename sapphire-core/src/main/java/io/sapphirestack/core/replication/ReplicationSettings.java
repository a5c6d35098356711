package io.sapphirestack.core.replication;

import java.util.List;
import java.util.function.Supplier;

/**
 * Settings of a node.
 *
 * @param address own {@code host:port}
 * @param voterAddresses addresses of all voters that the settings name, with the own one
 * @param electionMinMs shortest time without a leader before an election, in milliseconds
 * @param electionMaxMs longest time without a leader before an election, in milliseconds
 * @param heartbeatMs time between two heartbeats of the leader, in milliseconds
 * @param leaseMs length of the leader's lease from the heartbeat that a majority answered, in
 *     milliseconds
 * @param maxAppendBytes bytes of entries in one message, except that one entry always fits
 * @param snapshotChunkBytes bytes of a snapshot in one message
 * @param growth how nodes that the settings do not name become voters
 */
public record ReplicationSettings(
        String address,
        List<String> voterAddresses,
        long electionMinMs,
        long electionMaxMs,
        long heartbeatMs,
        long leaseMs,
        int maxAppendBytes,
        int snapshotChunkBytes,
        Growth growth) {

    /** Checks the components. */
    public ReplicationSettings {
        voterAddresses = voterAddresses.stream().sorted().distinct().toList();
        if (!growth.isOpen() && !voterAddresses.contains(address)) {
            throw new IllegalArgumentException(
                    "voterAddresses must contain the own address " + address);
        }
        if (heartbeatMs <= 0 || electionMinMs < 2 * heartbeatMs || electionMaxMs <= electionMinMs) {
            throw new IllegalArgumentException(
                    "election times must be at least two heartbeats, and the longest above the"
                            + " shortest");
        }
    }

    /**
     * Creates settings with the times of the design: election after 300 to 600 ms, lease of 1 s.
     *
     * @param address own {@code host:port}
     * @param voterAddresses addresses of all voters
     * @return the settings
     */
    public static ReplicationSettings withDefaults(String address, List<String> voterAddresses) {
        return withDefaults(address, voterAddresses, Growth.closed(voterAddresses));
    }

    /**
     * Creates settings with the times of the design.
     *
     * @param address own {@code host:port}
     * @param voterAddresses addresses of the voters that form the cluster
     * @param growth how other nodes become voters
     * @return the settings
     */
    public static ReplicationSettings withDefaults(
            String address, List<String> voterAddresses, Growth growth) {
        return new ReplicationSettings(
                address, voterAddresses, 300, 600, 100, 1_000, 1024 * 1024, 256 * 1024, growth);
    }

    /**
     * How nodes that the settings do not name become voters.
     *
     * @param isOpen whether every node that asks becomes a voter
     * @param mayForm whether empty nodes may form a cluster, which is only so at the first start
     * @param minVoters voters that remain at least when those that are lost are removed
     * @param contacts returns the addresses where the cluster is looked for
     */
    public record Growth(
            boolean isOpen, boolean mayForm, int minVoters, Supplier<List<String>> contacts) {

        /**
         * Returns the rule that only the nodes that the settings name are voters.
         *
         * @param voterAddresses addresses of all voters
         * @return the rule
         */
        public static Growth closed(List<String> voterAddresses) {
            List<String> fixed = List.copyOf(voterAddresses);
            return new Growth(false, true, Integer.MAX_VALUE, () -> fixed);
        }
    }
}

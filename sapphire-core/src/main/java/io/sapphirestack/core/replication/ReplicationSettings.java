package io.sapphirestack.core.replication;

import java.util.List;
import java.util.function.Supplier;

/**
 * Settings of a node of the replicated log.
 *
 * @param address {@code host:port} of this node
 * @param voterAddresses addresses of the configured voters
 * @param electionMinMs minimum election timeout, in milliseconds
 * @param electionMaxMs maximum election timeout, in milliseconds
 * @param heartbeatMs interval between two heartbeats of the leader, in milliseconds
 * @param leaseMs duration of the leader lease, counted from the sending of a heartbeat that a
 *     majority acknowledges, in milliseconds
 * @param maxAppendBytes maximum size of the entries in one message, in bytes; a single larger entry
 *     is still sent
 * @param snapshotChunkBytes maximum size of the snapshot data in one message, in bytes
 * @param voterPolicy rules by which nodes become voters
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
        VoterPolicy voterPolicy) {

    /** Sorts the addresses and validates the components. */
    public ReplicationSettings {
        voterAddresses = voterAddresses.stream().sorted().distinct().toList();
        if (!voterPolicy.admitsNewVoters() && !voterAddresses.contains(address)) {
            throw new IllegalArgumentException(
                    "voterAddresses must contain the address of this node: " + address);
        }
        if (heartbeatMs <= 0 || electionMinMs < 2 * heartbeatMs || electionMaxMs <= electionMinMs) {
            throw new IllegalArgumentException(
                    "heartbeatMs must be positive, electionMinMs at least twice heartbeatMs, and"
                            + " electionMaxMs greater than electionMinMs");
        }
    }

    /**
     * Creates settings with default timeouts and a fixed set of voters: election timeout of 300 to
     * 600 ms, heartbeats every 100 ms, lease of 1 s.
     *
     * @param address {@code host:port} of this node
     * @param voterAddresses addresses of all voters, including this node
     * @return the settings
     */
    public static ReplicationSettings withDefaults(String address, List<String> voterAddresses) {
        return withDefaults(address, voterAddresses, VoterPolicy.fixedVoters(voterAddresses));
    }

    /**
     * Creates settings with default timeouts.
     *
     * @param address {@code host:port} of this node
     * @param voterAddresses addresses of the voters that form the cluster
     * @param voterPolicy rules by which other nodes become voters
     * @return the settings
     */
    public static ReplicationSettings withDefaults(
            String address, List<String> voterAddresses, VoterPolicy voterPolicy) {
        return new ReplicationSettings(
                address,
                voterAddresses,
                300,
                600,
                100,
                1_000,
                1024 * 1024,
                256 * 1024,
                voterPolicy);
    }

    /**
     * Rules by which nodes become voters and unreachable voters are removed.
     *
     * @param admitsNewVoters whether nodes other than the configured voters may become voters
     * @param mayFormCluster whether nodes with empty logs may form a new cluster; {@code true} only
     *     at the first start
     * @param minVoters number of voters below which unreachable voters are not removed
     * @param discoveryAddresses supplies the addresses at which to look for an existing cluster
     */
    public record VoterPolicy(
            boolean admitsNewVoters,
            boolean mayFormCluster,
            int minVoters,
            Supplier<List<String>> discoveryAddresses) {

        /**
         * Returns rules by which only the configured nodes are voters.
         *
         * @param voterAddresses addresses of all voters
         * @return the rules
         */
        public static VoterPolicy fixedVoters(List<String> voterAddresses) {
            List<String> fixed = List.copyOf(voterAddresses);
            return new VoterPolicy(false, true, Integer.MAX_VALUE, () -> fixed);
        }
    }
}

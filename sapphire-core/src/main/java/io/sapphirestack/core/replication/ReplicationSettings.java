package io.sapphirestack.core.replication;

import java.util.List;

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
 */
public record ReplicationSettings(
        String address,
        List<String> voterAddresses,
        long electionMinMs,
        long electionMaxMs,
        long heartbeatMs,
        long leaseMs,
        int maxAppendBytes,
        int snapshotChunkBytes) {

    /** Checks the components. */
    public ReplicationSettings {
        voterAddresses = voterAddresses.stream().sorted().distinct().toList();
        if (!voterAddresses.contains(address)) {
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
        return new ReplicationSettings(
                address, voterAddresses, 300, 600, 100, 1_000, 1024 * 1024, 256 * 1024);
    }
}

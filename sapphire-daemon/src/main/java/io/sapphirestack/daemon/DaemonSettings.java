package io.sapphirestack.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one instance, already checked.
 *
 * @param instance name and place
 * @param httpListen {@code host:port} for callers, endpoints and operators
 * @param peerListen {@code host:port} for other instances
 * @param clusterKey key that all instances share
 * @param voters addresses of the voters of the control log
 * @param dataFolder where this voter stores the control log; empty if it is no voter
 * @param bootstrapOperatorKeyHash salted hash of the bootstrap operator's key
 * @param limits sizes and counts
 */
public record DaemonSettings(
        Instance instance,
        String httpListen,
        String peerListen,
        String clusterKey,
        List<String> voters,
        Optional<Path> dataFolder,
        String bootstrapOperatorKeyHash,
        Limits limits) {

    /** Copies the list. */
    public DaemonSettings {
        voters = List.copyOf(voters);
    }

    /**
     * Name and place of an instance.
     *
     * @param id name
     * @param availabilityZone availability zone
     * @param region region
     */
    public record Instance(String id, String availabilityZone, String region) {}

    /**
     * Sizes and counts.
     *
     * @param bodyBytes largest request body
     * @param finishedGenerationsBytes memory for finished generations
     * @param connections open HTTP connections
     * @param streams requests that deliver or wait for generations
     * @param reads reads at a time
     * @param orders orders at a time
     * @param attempts generations that run on engines for this owner
     */
    public record Limits(
            int bodyBytes,
            long finishedGenerationsBytes,
            int connections,
            int streams,
            int reads,
            int orders,
            int attempts) {

        /** Limits that fit a heap of 96 MiB. */
        public static final Limits DEFAULT =
                new Limits(4 * 1024 * 1024, 24L * 1024 * 1024, 1_024, 512, 256, 256, 1_024);
    }
}

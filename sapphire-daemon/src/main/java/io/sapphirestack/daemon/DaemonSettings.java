package io.sapphirestack.daemon;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Validated settings of one instance.
 *
 * @param instance name and location
 * @param httpListen {@code host:port} on which callers, endpoints and operators are served
 * @param peerListen {@code host:port} on which other instances are served
 * @param clusterKey secret that all instances of the cluster share
 * @param voters peer addresses of the voters of the control log, each {@code host:port}
 * @param dataFolder folder of the control log; empty if this instance is not a voter
 * @param bootstrapOperatorKeyHash salted hash of the bootstrap operator's key
 * @param limits limits on memory, connections and concurrent requests
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
     * Name and location of an instance.
     *
     * @param id name
     * @param availabilityZone availability zone
     * @param region region
     */
    public record Instance(String id, String availabilityZone, String region) {}

    /**
     * Limits on memory, connections and concurrent requests.
     *
     * @param bodyBytes largest request body, in bytes
     * @param messageBytes memory for the requests that are being received or served, in bytes
     * @param finishedGenerationsBytes memory for the output of finished generations, in bytes
     * @param connections maximum number of open HTTP connections
     * @param streams maximum number of concurrent requests that stream or wait for generations
     * @param reads maximum number of concurrent reads at plain services
     * @param orders maximum number of concurrent orders at plain services
     * @param attempts maximum number of concurrent attempts at engines for the generations that
     *     this instance owns
     */
    public record Limits(
            int bodyBytes,
            long messageBytes,
            long finishedGenerationsBytes,
            int connections,
            int streams,
            int reads,
            int orders,
            int attempts) {

        /** Part of the heap that requests may use by default. */
        private static final long MESSAGE_HEAP_DIVISOR = 4;

        /** Default limits, for a heap of 96 MiB. */
        public static final Limits DEFAULT =
                new Limits(
                        4 * 1024 * 1024,
                        Runtime.getRuntime().maxMemory() / MESSAGE_HEAP_DIVISOR,
                        24L * 1024 * 1024,
                        1_024,
                        512,
                        256,
                        256,
                        1_024);
    }
}

package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.relay.FleetRetryBudget;
import io.sapphirestack.daemon.DaemonSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of an instance that relays requests, already checked.
 *
 * @param instance name and place
 * @param peerListen {@code host:port} for other instances
 * @param clusterKey key that all instances share
 * @param voters addresses of instances that found the control log, or know where it is
 * @param dataFolder where the control log is stored; an instance without it is no voter
 * @param isFirstStart whether the fleet starts for the first time, with empty disks
 * @param minVoters voters that remain at least when those that are lost are removed
 * @param callerListen {@code host:port} for callers
 * @param maxConnections open connections of callers
 * @param repeats bounds on repeats of the whole fleet
 * @param graceMs time between a termination signal and the end of the process, in milliseconds
 */
public record RelaySettings(
        DaemonSettings.Instance instance,
        String peerListen,
        String clusterKey,
        List<String> voters,
        Optional<Path> dataFolder,
        boolean isFirstStart,
        int minVoters,
        String callerListen,
        int maxConnections,
        FleetRetryBudget.Settings repeats,
        long graceMs) {

    /** Checks the components. */
    public RelaySettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(peerListen, "peerListen");
        Objects.requireNonNull(clusterKey, "clusterKey");
        voters = List.copyOf(voters);
        Objects.requireNonNull(dataFolder, "dataFolder");
        Objects.requireNonNull(callerListen, "callerListen");
        Objects.requireNonNull(repeats, "repeats");
    }
}

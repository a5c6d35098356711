package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.relay.RepeatBudget;
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
 * @param voters addresses of the voters of the control log
 * @param dataFolder where a voter stores the control log; empty if it is no voter
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
        String callerListen,
        int maxConnections,
        RepeatBudget.Settings repeats,
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

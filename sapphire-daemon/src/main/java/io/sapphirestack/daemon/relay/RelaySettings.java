package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.admission.AdmissionSettings;
import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.core.relay.FleetRetryBudget;
import io.sapphirestack.daemon.DaemonSettings;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Validated settings of an instance that relays requests. Immutable.
 *
 * @param instance name, availability zone and region
 * @param peerListen {@code host:port} on which other instances connect
 * @param clusterKey secret that all instances of the cluster share
 * @param voters peer addresses of instances that form the control log or know its voters
 * @param dataFolder folder of the control log; an instance without one is not a voter
 * @param isFirstStart whether the fleet starts for the first time, with empty data folders
 * @param minVoters minimum number of voters that remain when unreachable voters are removed
 * @param callerListen {@code host:port} on which callers connect
 * @param maxConnections maximum number of open connections of callers
 * @param retryBudget limits on the retries of the whole fleet
 * @param messages limits on received messages and their memory
 * @param admission admission of plain requests
 * @param signals limits on what endpoints may ask for in their responses
 * @param graceMs longest time from a termination signal to the end of the process, in milliseconds
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
        FleetRetryBudget.Settings retryBudget,
        MessageSettings messages,
        AdmissionSettings admission,
        EndpointSignalTable.Settings signals,
        long graceMs) {

    /** Requires the components to be non-null. */
    public RelaySettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(peerListen, "peerListen");
        Objects.requireNonNull(clusterKey, "clusterKey");
        voters = List.copyOf(voters);
        Objects.requireNonNull(dataFolder, "dataFolder");
        Objects.requireNonNull(callerListen, "callerListen");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(messages, "messages");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(signals, "signals");
    }
}

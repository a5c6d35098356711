package io.sapphirestack.runtime.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Addresses of the voters that this instance knows. At startup these are the voters in the
 * settings; later voter sets are obtained from other instances. Thread-safe.
 */
public final class VoterDirectory {

    private volatile List<String> configured;
    private final AtomicReference<FindVotersRequest.Voters> learned;
    private final AtomicReference<String> preferred;

    /**
     * Creates a directory.
     *
     * @param configured addresses of the voters in the settings, at least one
     */
    public VoterDirectory(List<String> configured) {
        if (configured.isEmpty()) {
            throw new IllegalArgumentException("at least one voter address must be configured");
        }
        this.configured = List.copyOf(configured);
        this.learned = new AtomicReference<>(new FindVotersRequest.Voters(0, this.configured));
        this.preferred = new AtomicReference<>(this.configured.get(0));
    }

    /** Returns the addresses of the last known voter set, at least one. */
    public List<String> addresses() {
        return learned.get().addresses();
    }

    /**
     * Returns the addresses of the last known voter set followed by those in the settings, without
     * duplicates.
     */
    public List<String> discoveryAddresses() {
        Set<String> contacts = new LinkedHashSet<>(addresses());
        contacts.addAll(configured);
        return new ArrayList<>(contacts);
    }

    /** Returns the voter to call first: the leader as far as this instance knows it. */
    public String preferred() {
        return preferred.get();
    }

    /**
     * Records the leader that a voter named. An empty address, or one that is no known voter, is
     * ignored.
     *
     * @param leader address of the leader
     */
    public void recordLeader(String leader) {
        if (addresses().contains(leader)) {
            preferred.set(leader);
        }
    }

    /**
     * Records that a voter did not answer as the leader. The next voter becomes the preferred one,
     * unless another one already is.
     *
     * @param address address of that voter
     */
    public void recordNoLeader(String address) {
        List<String> addresses = addresses();
        String next = addresses.get((addresses.indexOf(address) + 1) % addresses.size());
        preferred.compareAndSet(address, next);
    }

    /**
     * Replaces the addresses that come from the settings.
     *
     * @param addresses addresses of the voters in the changed settings; an empty list is ignored
     */
    public void replaceConfigured(List<String> addresses) {
        if (!addresses.isEmpty()) {
            configured = List.copyOf(addresses);
        }
    }

    /** Returns the last known voter set, for the reply to another instance. */
    FindVotersRequest.Voters voters() {
        return learned.get();
    }

    /**
     * Replaces the known voter set by that of another instance or of the local voter if its log
     * index is higher. A set without addresses is ignored.
     *
     * @param voters voter set with its log index
     * @return whether the addresses of the known voter set have changed
     */
    public boolean updateIfNewer(FindVotersRequest.Voters voters) {
        if (voters.addresses().isEmpty()) {
            return false;
        }
        FindVotersRequest.Voters previous =
                learned.getAndUpdate(known -> voters.index() > known.index() ? voters : known);
        return voters.index() > previous.index()
                && !Set.copyOf(voters.addresses()).equals(Set.copyOf(previous.addresses()));
    }
}

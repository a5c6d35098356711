package io.sapphirestack.runtime.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Addresses of the voters as this instance knows them. The settings name those of the start; later
 * ones are learned from other instances. Thread-safe.
 */
public final class VoterDirectory {

    private volatile List<String> initial;
    private final AtomicReference<FindVotersRequest.Voters> learned;

    /**
     * Creates a directory.
     *
     * @param initial addresses that the settings name, at least one
     */
    public VoterDirectory(List<String> initial) {
        if (initial.isEmpty()) {
            throw new IllegalArgumentException("at least one voter is needed");
        }
        this.initial = List.copyOf(initial);
        this.learned = new AtomicReference<>(new FindVotersRequest.Voters(0, this.initial));
    }

    /** Returns the voters as far as they are known, at least one. */
    public List<String> addresses() {
        return learned.get().addresses();
    }

    /** Returns the known voters and those that the settings name. */
    public List<String> discoveryAddresses() {
        Set<String> contacts = new LinkedHashSet<>(addresses());
        contacts.addAll(initial);
        return new ArrayList<>(contacts);
    }

    /**
     * Replaces the addresses that the settings name.
     *
     * @param addresses addresses of changed settings; ignored if there are none
     */
    public void replaceConfigured(List<String> addresses) {
        if (!addresses.isEmpty()) {
            initial = List.copyOf(addresses);
        }
    }

    /** Returns what this instance tells others. */
    FindVotersRequest.Voters voters() {
        return learned.get();
    }

    /**
     * Takes over what another instance or the own voter knows, if it is newer.
     *
     * @param voters voters with the log index up to which they are known
     */
    public void updateIfNewer(FindVotersRequest.Voters voters) {
        if (voters.addresses().isEmpty()) {
            return;
        }
        learned.updateAndGet(known -> voters.index() > known.index() ? voters : known);
    }
}

package io.sapphirestack.runtime.control;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Addresses of instances that this instance has heard of, for some time after it last did. An
 * instance that was evicted, and comes back without any state, can only be found here. Thread-safe.
 */
final class PeerContacts {

    /** Time for which an address is remembered, in milliseconds. */
    static final long REMEMBER_MS = 300_000;

    /** Maximum number of addresses; the one heard of first is dropped beyond it. */
    static final int MAX_ADDRESSES = 2_048;

    /** Time of the last mention by address, the oldest first. */
    private final Map<String, Long> lastHeardMs = new LinkedHashMap<>();

    /**
     * Records that addresses were mentioned.
     *
     * @param addresses addresses as {@code host:port}
     * @param nowMs time on the monotonic clock, in milliseconds
     */
    synchronized void add(Collection<String> addresses, long nowMs) {
        for (String address : addresses) {
            lastHeardMs.remove(address);
            lastHeardMs.put(address, nowMs);
        }
        Iterator<Long> oldest = lastHeardMs.values().iterator();
        while (oldest.hasNext()
                && (oldest.next() < nowMs - REMEMBER_MS || lastHeardMs.size() > MAX_ADDRESSES)) {
            oldest.remove();
        }
    }

    /** Returns the remembered addresses. */
    synchronized Set<String> addresses() {
        return Set.copyOf(lastHeardMs.keySet());
    }
}

package io.sapphirestack.runtime.http;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.time.MillisClock;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which instances may still act on an older revision of the configuration. An evicted
 * instance may do so until its configuration lease expires, unless it joined again. Thread-safe.
 */
final class AppliedRevisionTracker {

    /**
     * Time after which an instance that has not received a change refuses new requests, in
     * milliseconds. The same value as {@code ControlWatcher.CONFIGURATION_LEASE_MS}.
     */
    static final long CONFIGURATION_LEASE_MS = 3_000;

    private final MillisClock clock;
    private final Map<InstanceRef, Long> evictedAtMs = new HashMap<>();
    private long lastEventIndex;

    AppliedRevisionTracker(MillisClock clock) {
        this.clock = clock;
    }

    /** Records the evictions of a newly published control view. */
    synchronized void onViewPublished(ControlView view) {
        long nowMs = clock.nowMs();
        for (MembershipEvent event : view.events()) {
            if (event.index() > lastEventIndex) {
                lastEventIndex = event.index();
                if (event instanceof MembershipEvent.Evicted) {
                    ((MembershipEvent.Evicted) event)
                            .refs()
                            .forEach(ref -> evictedAtMs.put(ref, nowMs));
                }
            }
        }
        evictedAtMs
                .values()
                .removeIf(evictionTimeMs -> nowMs - evictionTimeMs > CONFIGURATION_LEASE_MS);
        evictedAtMs.keySet().removeIf(ref -> view.instances().containsKey(ref.id()));
    }

    /**
     * Returns the instances that have not reported the revision and may still act on an older one.
     */
    synchronized Set<String> findLagging(ControlView view, FleetStatus fleet, long revision) {
        Set<String> lagging = new TreeSet<>();
        Set<InstanceRef> reported = new java.util.HashSet<>();
        for (InstanceStatus status : fleet.instances()) {
            reported.add(status.ref());
            if (status.appliedRevision() < revision) {
                lagging.add(status.ref().toString());
            }
        }
        view.instances().values().stream()
                .filter(info -> !reported.contains(info.ref()))
                .forEach(info -> lagging.add(info.ref().toString()));
        long nowMs = clock.nowMs();
        evictedAtMs.forEach(
                (ref, evictionTimeMs) -> {
                    if (nowMs - evictionTimeMs <= CONFIGURATION_LEASE_MS) {
                        lagging.add(ref.toString());
                    }
                });
        return lagging;
    }
}

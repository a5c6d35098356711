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
 * Tells which instances may still act on an older configuration. An instance that was evicted may
 * do so until its freshness lease has ended, unless it joined again. Thread-safe.
 */
final class ForceTracker {

    /** After this time an instance that does not know a change refuses new work. */
    static final long LEASE_MS = 3_000;

    private final MillisClock clock;
    private final Map<InstanceRef, Long> evictedAtMs = new HashMap<>();
    private long lastEventIndex;

    ForceTracker(MillisClock clock) {
        this.clock = clock;
    }

    /** Takes a published view. */
    synchronized void observe(ControlView view) {
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
        evictedAtMs.values().removeIf(atMs -> nowMs - atMs > LEASE_MS);
        evictedAtMs.keySet().removeIf(ref -> view.instances().containsKey(ref.id()));
    }

    /** Returns the instances that have not reported a revision and may still serve without it. */
    synchronized Set<String> behind(ControlView view, FleetStatus fleet, long revision) {
        Set<String> behind = new TreeSet<>();
        Set<InstanceRef> reported = new java.util.HashSet<>();
        for (InstanceStatus status : fleet.instances()) {
            reported.add(status.ref());
            if (status.appliedRevision() < revision) {
                behind.add(status.ref().toString());
            }
        }
        view.instances().values().stream()
                .filter(info -> !reported.contains(info.ref()))
                .forEach(info -> behind.add(info.ref().toString()));
        long nowMs = clock.nowMs();
        evictedAtMs.forEach(
                (ref, atMs) -> {
                    if (nowMs - atMs <= LEASE_MS) {
                        behind.add(ref.toString());
                    }
                });
        return behind;
    }
}

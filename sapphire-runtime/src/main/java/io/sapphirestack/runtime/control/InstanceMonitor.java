package io.sapphirestack.runtime.control;

import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.InstanceStatus;
import io.sapphirestack.core.id.InstanceRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Failure detector of the leader: records heartbeats and reports of peers, and selects the
 * instances to evict. Not thread-safe; used on the voter thread only.
 */
final class InstanceMonitor {

    /**
     * Time without a heartbeat after which an instance is evicted: three missed long polls. It is
     * part of the failover time of a generation.
     */
    static final long EVICT_AFTER_MS = 1_500;

    /**
     * Minimum time between two evictions caused by the same reporter, so that a faulty reporter
     * cannot evict the whole fleet.
     */
    static final long MIN_REPORT_INTERVAL_MS = 10_000;

    /** Time after which an eviction that was proposed but not applied may be proposed again. */
    private static final long PROPOSAL_TIMEOUT_MS = 2_000;

    private final Map<InstanceRef, Long> lastSeenMs = new HashMap<>();
    private final Map<InstanceRef, InstanceStatus> statuses = new HashMap<>();
    private final Map<InstanceRef, Long> evictionProposedMs = new HashMap<>();
    private final Map<InstanceRef, Long> lastAcceptedReportMs = new HashMap<>();
    private long observingSinceMs;

    /**
     * Starts a new observation period, so that no instance is evicted before a full eviction
     * timeout has passed. Called for a new leader and after a pause of the process.
     */
    void restartObservation(long nowMs) {
        observingSinceMs = nowMs;
        evictionProposedMs.clear();
    }

    void recordHeartbeat(InstanceStatus status, long nowMs) {
        lastSeenMs.put(status.ref(), nowMs);
        statuses.put(status.ref(), status);
    }

    void recordJoin(InstanceRef ref, long nowMs) {
        lastSeenMs.put(ref, nowMs);
    }

    /**
     * Returns the instances without a heartbeat within the eviction timeout and records their
     * eviction as proposed.
     */
    List<InstanceRef> takeDueEvictions(ControlView view, long nowMs) {
        lastSeenMs.keySet().removeIf(ref -> !view.isLive(ref));
        statuses.keySet().removeIf(ref -> !view.isLive(ref));
        lastAcceptedReportMs.keySet().removeIf(ref -> !view.isLive(ref));
        evictionProposedMs
                .values()
                .removeIf(proposedMs -> nowMs - proposedMs > PROPOSAL_TIMEOUT_MS);
        List<InstanceRef> evictions = new ArrayList<>();
        for (InstanceInfo info : view.instances().values()) {
            long seenMs =
                    Math.max(
                            observingSinceMs,
                            lastSeenMs.getOrDefault(info.ref(), observingSinceMs));
            if (nowMs - seenMs > EVICT_AFTER_MS && !evictionProposedMs.containsKey(info.ref())) {
                evictions.add(info.ref());
            }
        }
        evictions.forEach(ref -> evictionProposedMs.put(ref, nowMs));
        return evictions;
    }

    /**
     * Accepts or rejects the report of a peer. If it is accepted, the eviction of the reported
     * instance is recorded as proposed.
     */
    boolean acceptReport(ControlView view, InstanceRef reporter, InstanceRef reported, long nowMs) {
        Long lastAcceptedMs = lastAcceptedReportMs.get(reporter);
        boolean accepted =
                view.isLive(reporter)
                        && view.isLive(reported)
                        && !reporter.equals(reported)
                        && !evictionProposedMs.containsKey(reporter)
                        && !evictionProposedMs.containsKey(reported)
                        && (lastAcceptedMs == null
                                || nowMs - lastAcceptedMs >= MIN_REPORT_INTERVAL_MS);
        if (accepted) {
            lastAcceptedReportMs.put(reporter, nowMs);
            evictionProposedMs.put(reported, nowMs);
        }
        return accepted;
    }

    List<InstanceStatus> liveStatuses(ControlView view) {
        return statuses.values().stream()
                .filter(status -> view.isLive(status.ref()))
                .sorted((a, b) -> a.ref().compareTo(b.ref()))
                .toList();
    }
}

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
 * What the leader knows about live instances: heartbeats, reports and who is due for eviction. Used
 * by the voter's thread only.
 */
final class InstanceMonitor {

    /** Three missed long polls; part of the bound on failover of a generation. */
    static final long EVICT_AFTER_MS = 1_500;

    /** One reporter causes at most one eviction in this time, so that it cannot empty the fleet. */
    static final long REPORT_INTERVAL_MS = 10_000;

    /** A proposed eviction is proposed again if it is not applied in this time. */
    private static final long PROPOSAL_TIMEOUT_MS = 2_000;

    private final Map<InstanceRef, Long> lastSeenMs = new HashMap<>();
    private final Map<InstanceRef, InstanceStatus> statuses = new HashMap<>();
    private final Map<InstanceRef, Long> proposedMs = new HashMap<>();
    private final Map<InstanceRef, Long> lastReportMs = new HashMap<>();
    private long observingSinceMs;

    /** Starts a full period in which nobody is evicted, for a new leader or after a pause. */
    void restart(long nowMs) {
        observingSinceMs = nowMs;
        proposedMs.clear();
    }

    void heartbeat(InstanceStatus status, long nowMs) {
        lastSeenMs.put(status.ref(), nowMs);
        statuses.put(status.ref(), status);
    }

    void joined(InstanceRef ref, long nowMs) {
        lastSeenMs.put(ref, nowMs);
    }

    /** Returns the instances to evict now; they count as proposed. */
    List<InstanceRef> due(ControlView view, long nowMs) {
        lastSeenMs.keySet().removeIf(ref -> !view.isLive(ref));
        statuses.keySet().removeIf(ref -> !view.isLive(ref));
        lastReportMs.keySet().removeIf(ref -> !view.isLive(ref));
        proposedMs.values().removeIf(time -> nowMs - time > PROPOSAL_TIMEOUT_MS);
        List<InstanceRef> due = new ArrayList<>();
        for (InstanceInfo info : view.instances().values()) {
            long seenMs =
                    Math.max(
                            observingSinceMs,
                            lastSeenMs.getOrDefault(info.ref(), observingSinceMs));
            if (nowMs - seenMs > EVICT_AFTER_MS && !proposedMs.containsKey(info.ref())) {
                due.add(info.ref());
            }
        }
        due.forEach(ref -> proposedMs.put(ref, nowMs));
        return due;
    }

    /** Returns whether a report leads to the eviction of the reported instance. */
    boolean acceptsReport(
            ControlView view, InstanceRef reporter, InstanceRef reported, long nowMs) {
        Long last = lastReportMs.get(reporter);
        boolean accepted =
                view.isLive(reporter)
                        && view.isLive(reported)
                        && !reporter.equals(reported)
                        && !proposedMs.containsKey(reporter)
                        && !proposedMs.containsKey(reported)
                        && (last == null || nowMs - last >= REPORT_INTERVAL_MS);
        if (accepted) {
            lastReportMs.put(reporter, nowMs);
            proposedMs.put(reported, nowMs);
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

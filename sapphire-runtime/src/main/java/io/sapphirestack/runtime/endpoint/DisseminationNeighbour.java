package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.membership.EndpointReport;
import java.util.Collection;

/**
 * Neighbour in the dissemination tree: the reports queued for it and the state of its exchanges.
 * Not thread-safe.
 */
final class DisseminationNeighbour {

    final InstanceInfo info;
    final PendingReports pending = new PendingReports();
    long nextExchangeMs;
    boolean exchangeInFlight;

    /** Whether the last call to the neighbour had a reply; false before the first one. */
    boolean responded;

    /**
     * Creates a neighbour.
     *
     * @param info instance
     * @param firstExchangeMs time of the first exchange on the monotonic clock, in milliseconds
     */
    DisseminationNeighbour(InstanceInfo info, long firstExchangeMs) {
        this.info = info;
        this.nextExchangeMs = firstExchangeMs;
    }

    InstanceId id() {
        return info.ref().id();
    }

    void queue(Collection<EndpointReport> reports, long nowMs) {
        reports.forEach(report -> pending.add(report, nowMs));
    }

    /** Moves the next exchange forward to a time unless it is due before. */
    void exchangeBy(long timeMs) {
        nextExchangeMs = Math.min(nextExchangeMs, timeMs);
    }
}

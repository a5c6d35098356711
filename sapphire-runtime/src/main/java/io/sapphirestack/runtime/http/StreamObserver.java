package io.sapphirestack.runtime.http;

import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.Metrics;

/** Measures the tokens of one stream against the objectives of its service. Used by one thread. */
final class StreamObserver {

    /** Service of a stream whose model has no record any more. */
    static final String UNKNOWN = "unknown";

    private final Metrics metrics;
    private final ObjectiveEvents events;
    private final MillisClock clock;
    private final String service;
    private final ObjectivesSpec objectives;
    private final long startedAtMs;
    private final boolean fromStart;
    private long lastTokensAtMs = -1;

    StreamObserver(
            Metrics metrics,
            ObjectiveEvents events,
            MillisClock clock,
            String service,
            ObjectivesSpec objectives,
            long startedAtMs,
            boolean fromStart) {
        this.metrics = metrics;
        this.events = events;
        this.clock = clock;
        this.service = service;
        this.objectives = objectives;
        this.startedAtMs = startedAtMs;
        this.fromStart = fromStart;
    }

    void tokens(int count) {
        long nowMs = clock.nowMs();
        if (lastTokensAtMs >= 0) {
            long gapMs = nowMs - lastTokensAtMs;
            metrics.recordTokens(service, count, gapMs);
            // The report on burn looks up the record of each service that it names.
            if (!service.equals(UNKNOWN)) {
                events.betweenTokens(service, gapMs, objectives.betweenTokensMs());
            }
        } else if (fromStart) {
            long latencyMs = nowMs - startedAtMs;
            metrics.recordFirstToken(service, latencyMs);
            if (!service.equals(UNKNOWN)) {
                events.firstToken(service, latencyMs, objectives.firstTokenMs());
            }
        }
        lastTokensAtMs = nowMs;
    }
}

package io.sapphirestack.runtime.http;

import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.Metrics;

/**
 * Records the token latencies of one stream in the metrics and against the objectives of its
 * service. Not thread-safe.
 */
final class TokenLatencyRecorder {

    /** Service label of a stream whose model has no record or whose record is not readable. */
    static final String UNKNOWN_SERVICE = "unknown";

    private final Metrics metrics;
    private final ObjectiveEventRecorder events;
    private final MillisClock clock;
    private final String service;
    private final ObjectivesSpec objectives;
    private final long startedAtMs;
    private final boolean measuresFirstToken;
    private long lastTokensAtMs = -1;

    TokenLatencyRecorder(
            Metrics metrics,
            ObjectiveEventRecorder events,
            MillisClock clock,
            String service,
            ObjectivesSpec objectives,
            long startedAtMs,
            boolean measuresFirstToken) {
        this.metrics = metrics;
        this.events = events;
        this.clock = clock;
        this.service = service;
        this.objectives = objectives;
        this.startedAtMs = startedAtMs;
        this.measuresFirstToken = measuresFirstToken;
    }

    /**
     * Records a delivered batch: the latency of the first token, or the gap since the previous
     * batch. The first token is measured only if the stream started at the first token.
     *
     * @param count number of tokens in the batch
     */
    void recordTokens(int count) {
        long nowMs = clock.nowMs();
        if (lastTokensAtMs >= 0) {
            long gapMs = nowMs - lastTokensAtMs;
            metrics.recordTokens(service, count, gapMs);
            // The burn report looks up the record of each service, so unknown services are left
            // out.
            if (!service.equals(UNKNOWN_SERVICE)) {
                events.recordTokenGap(service, gapMs, objectives.betweenTokensMs());
            }
        } else if (measuresFirstToken) {
            long latencyMs = nowMs - startedAtMs;
            metrics.recordFirstToken(service, latencyMs);
            if (!service.equals(UNKNOWN_SERVICE)) {
                events.recordFirstToken(service, latencyMs, objectives.firstTokenMs());
            }
        }
        lastTokensAtMs = nowMs;
    }
}

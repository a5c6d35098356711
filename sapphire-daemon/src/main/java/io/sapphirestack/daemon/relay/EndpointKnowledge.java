package io.sapphirestack.daemon.relay;

import io.sapphirestack.core.limit.NamedRateLimits;
import io.sapphirestack.core.quarantine.CrashEvidence;
import io.sapphirestack.core.quarantine.PromptQuarantine;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.core.relay.EndpointSpeeds;
import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.metrics.Metrics;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * What an instance has learned about endpoints from their responses and failures. Thread-safe.
 *
 * @param crashEvidence crashes of endpoints and the requests that they ran
 * @param quarantine prompts that are not sent to engines
 * @param requestQuarantine requests that are not sent to endpoints
 * @param rateLimits rate limits that endpoints named to this instance
 * @param signals load, back-off and leaving of endpoints
 * @param speeds learned speeds of endpoints
 */
record EndpointKnowledge(
        CrashEvidence crashEvidence,
        PromptQuarantine quarantine,
        RequestQuarantine requestQuarantine,
        NamedRateLimits rateLimits,
        EndpointSignalTable signals,
        EndpointSpeeds speeds) {

    /**
     * Creates empty knowledge.
     *
     * @param settings limits on the signals of endpoints
     * @param seed makes the decisions of this instance differ from those of others
     * @param clock monotonic clock
     */
    static EndpointKnowledge empty(
            EndpointSignalTable.Settings settings, long seed, MillisClock clock) {
        CrashEvidence evidence = CrashEvidence.empty(MillisClock.wall());
        return new EndpointKnowledge(
                evidence,
                new PromptQuarantine(evidence.reports(), MillisClock.wall()),
                new RequestQuarantine(evidence.histories(), MillisClock.wall(), seed),
                new NamedRateLimits(clock),
                new EndpointSignalTable(
                        settings, () -> ThreadLocalRandom.current().nextDouble(), clock),
                new EndpointSpeeds());
    }

    /**
     * Returns the load of an endpoint that reports its pace. Without it, the time that a request
     * would take is not known well enough to refuse any.
     */
    Optional<ObservedLoad> loadWithPace(EndpointState endpoint) {
        return signals.load(endpoint).filter(load -> load.reportedPacePercent().isPresent());
    }

    void registerGauges(Metrics metrics) {
        metrics.registerGauge(
                "sapphire_quarantined_prompt_parts",
                "Prompt parts that are not sent to engines because they crash them.",
                quarantine::size);
        metrics.registerGauge(
                "sapphire_quarantined_requests",
                "Requests that are not sent to endpoints because they crash them.",
                requestQuarantine::size);
        metrics.registerGauge(
                "sapphire_rate_limited_endpoints",
                "Endpoints that named a rate limit to this instance.",
                () -> rateLimits.current().size());
        metrics.registerGauge(
                "sapphire_blocked_endpoints",
                "Endpoint processes that are leaving or in back-off.",
                signals::blockedCount);
    }
}

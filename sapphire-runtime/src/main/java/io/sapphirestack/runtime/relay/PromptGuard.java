package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.quarantine.PromptQuarantine;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reports the outcomes of attempts to the {@link PromptQuarantine} and refuses requests whose
 * prompt it names. Thread-safe.
 */
final class PromptGuard {

    private static final EventLog LOG = EventLog.of(PromptGuard.class);

    private static final String REASON = "a part of the prompt crashes the engines that answer it";

    private final PromptQuarantine quarantine;
    private final UpstreamPool pool;
    private int loggedSize;

    PromptGuard(PromptQuarantine quarantine, UpstreamPool pool) {
        this.quarantine = quarantine;
        this.pool = pool;
    }

    /**
     * Returns the response to a request whose prompt is quarantined.
     *
     * @param request request whose response has not begun
     * @param wasSent whether an earlier attempt of the request reached an endpoint
     * @return response that ends the request, empty if the request may be sent
     */
    Optional<RelayResponse> refusal(RelayedRequest request, boolean wasSent) {
        OptionalLong remainingMs =
                quarantine.remainingMs(request.service().name(), request.promptParts());
        if (remainingMs.isEmpty()) {
            return Optional.empty();
        }
        LOG.info(
                "SAP1928",
                "A request was refused because its prompt is quarantined",
                "request",
                request.id(),
                "service",
                request.service().name(),
                "promptParts",
                request.promptParts().shared(),
                "wasSent",
                wasSent,
                "remainingMs",
                remainingMs.getAsLong());
        return Optional.of(
                wasSent
                        ? RelayResponse.outcomeUnknown(REASON)
                        : RelayResponse.notRun(REASON, remainingMs.getAsLong()));
    }

    /**
     * Records that an attempt failed before the endpoint answered. If the endpoint does not accept
     * a connection either, it has crashed, and the prompt may be the cause.
     *
     * @param request request that was sent
     * @param endpoint endpoint of the attempt
     * @param waitedMs time since the request was sent, in milliseconds
     * @return whether the endpoint accepted a connection
     */
    boolean recordFailure(RelayedRequest request, EndpointState endpoint, long waitedMs) {
        boolean reachable = pool.probe(endpoint);
        if (!reachable) {
            quarantine.recordCrash(
                    endpoint.id(),
                    endpoint.epochMs(),
                    request.service().name(),
                    request.promptParts(),
                    waitedMs);
        }
        return reachable;
    }

    /** Logs when a quarantine began or ended since the last call. Called by one thread. */
    void logChanges() {
        int size = quarantine.size();
        if (size != loggedSize) {
            LOG.warn(
                    "SAP1930",
                    "The number of quarantined prompt parts changed",
                    "before",
                    loggedSize,
                    "now",
                    size);
            loggedSize = size;
        }
    }

    /** Records that an endpoint has begun to answer the prompt of a request. */
    void recordAnswer(RelayedRequest request) {
        if (quarantine.recordAnswer(request.service().name(), request.promptParts())) {
            LOG.info(
                    "SAP1929",
                    "Parts of an answered prompt are no longer suspected of a crash",
                    "request",
                    request.id(),
                    "service",
                    request.service().name(),
                    "promptParts",
                    request.promptParts().shared());
        }
    }
}

package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.quarantine.PromptQuarantine;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import io.sapphirestack.runtime.endpoint.SuspectedCrash;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reports the outcomes of attempts to the {@link RequestCrashMonitor} and the {@link
 * PromptQuarantine}, and refuses the requests that one of them names. Thread-safe.
 */
final class CrashGuard implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(CrashGuard.class);

    private static final String REQUEST_REASON =
            "the request crashes the endpoints that run it; it is not sent for now";
    private static final String PROMPT_REASON =
            "a part of the prompt crashes the engines that answer it";

    private final RequestCrashMonitor requests;
    private final PromptQuarantine prompts;
    private final MillisClock clock;
    private int loggedPrompts;
    private int loggedRequests;

    CrashGuard(RelayContext context, UpstreamPool pool) {
        this.prompts = context.quarantine();
        this.clock = context.clock();
        this.requests =
                new RequestCrashMonitor(
                        context.requestQuarantine(), pool::probe, this::recordPromptCrash, clock);
    }

    private void recordPromptCrash(SuspectedCrash crash) {
        prompts.recordCrash(
                crash.endpoint().id(),
                crash.endpoint().epochMs(),
                crash.endpoint().service(),
                crash.promptParts(),
                crash.request(),
                clock.nowMs() - crash.sentAtMs());
    }

    /**
     * Returns the response to a request that is quarantined.
     *
     * @param request request whose response has not begun
     * @param wasSent whether an earlier attempt of the request reached an endpoint
     * @return response that ends the request, empty if the request may be sent
     */
    Optional<RelayResponse> refusal(RelayedRequest request, boolean wasSent) {
        OptionalLong requestMs = requests.remainingMs(request.fingerprint());
        if (requestMs.isPresent()) {
            LOG.info(
                    "SAP1934",
                    "A request was refused because it crashes the endpoints that run it",
                    refusalFields(request, wasSent, requestMs.getAsLong()));
            return Optional.of(refuse(REQUEST_REASON, wasSent, requestMs.getAsLong()));
        }
        OptionalLong promptMs =
                prompts.remainingMs(
                        request.service().name(), request.promptParts(), request.fingerprint());
        if (promptMs.isPresent()) {
            LOG.info(
                    "SAP1928",
                    "A request was refused because its prompt is quarantined",
                    refusalFields(request, wasSent, promptMs.getAsLong()));
            return Optional.of(refuse(PROMPT_REASON, wasSent, promptMs.getAsLong()));
        }
        return Optional.empty();
    }

    private static RelayResponse refuse(String reason, boolean wasSent, long remainingMs) {
        return wasSent
                ? RelayResponse.outcomeUnknown(reason)
                : RelayResponse.notRun(reason, remainingMs);
    }

    private static Object[] refusalFields(
            RelayedRequest request, boolean wasSent, long remainingMs) {
        return new Object[] {
            "request",
            request.id(),
            "fingerprint",
            request.fingerprint(),
            "service",
            request.service().name(),
            "promptParts",
            request.promptParts().shared(),
            "wasSent",
            wasSent,
            "remainingMs",
            remainingMs
        };
    }

    /** Returns whether no further attempt of a request may be made, whatever its prompt. */
    boolean isQuarantined(RelayedRequest request) {
        return requests.remainingMs(request.fingerprint()).isPresent();
    }

    /**
     * Ends a wait for the answer to a request that was quarantined meanwhile, before it crashes the
     * endpoint of this attempt as well.
     *
     * @param request request that was sent and has no answer yet
     * @param peer address of the endpoint
     * @throws RelayFailedException if the request is quarantined
     */
    void checkWait(RelayedRequest request, String peer) throws RelayFailedException {
        Optional<RelayResponse> refusal = refusal(request, true);
        if (refusal.isPresent()) {
            throw new RelayFailedException(peer, refusal.get());
        }
    }

    /**
     * Records that an attempt failed before the endpoint answered.
     *
     * @param request request that was sent
     * @param endpoint endpoint of the attempt
     * @param sentAtMs time at which it was sent, in milliseconds
     * @param isRetry whether an earlier attempt of the request was sent and failed
     * @return whether the endpoint accepted a connection after the failure
     */
    boolean recordFailure(
            RelayedRequest request, EndpointState endpoint, long sentAtMs, boolean isRetry) {
        return requests.recordFailure(
                request.fingerprint(),
                request.promptParts(),
                endpoint,
                RequestQuarantine.reportedSentAtMs(sentAtMs, isRetry));
    }

    /**
     * Records that an attempt ended without an answer because its deadline had passed.
     *
     * @param request request that was sent
     * @param endpoint endpoint of the attempt
     * @param sentAtMs time at which it was sent, in milliseconds
     * @param isRetry whether an earlier attempt of the request was sent and failed
     */
    void recordTimeout(
            RelayedRequest request, EndpointState endpoint, long sentAtMs, boolean isRetry) {
        requests.recordTimeout(
                request.fingerprint(),
                request.promptParts(),
                endpoint,
                RequestQuarantine.reportedSentAtMs(sentAtMs, isRetry));
    }

    /** Logs when a quarantine began or ended since the last call. Called by one thread. */
    void logChanges() {
        int promptCount = prompts.size();
        if (promptCount != loggedPrompts) {
            LOG.warn(
                    "SAP1930",
                    "The number of quarantined prompt parts changed",
                    "before",
                    loggedPrompts,
                    "now",
                    promptCount);
            loggedPrompts = promptCount;
        }
        int requestCount = requests.quarantinedRequests();
        if (requestCount != loggedRequests) {
            LOG.warn(
                    "SAP1936",
                    "The number of quarantined requests changed",
                    "before",
                    loggedRequests,
                    "now",
                    requestCount);
            loggedRequests = requestCount;
        }
    }

    /** Records that an endpoint has answered a request, or has begun to answer a stream. */
    void recordAnswer(RelayedRequest request) {
        boolean wasSuspected = requests.recordAnswer(request.fingerprint());
        boolean werePartsSuspected =
                prompts.recordAnswer(
                        request.service().name(), request.promptParts(), request.fingerprint());
        if (wasSuspected || werePartsSuspected) {
            LOG.info(
                    "SAP1929",
                    "A request that was answered, or its prompt, is no longer suspected of a crash",
                    "request",
                    request.id(),
                    "fingerprint",
                    request.fingerprint(),
                    "service",
                    request.service().name(),
                    "promptParts",
                    request.promptParts().shared());
        }
    }

    @Override
    public void close() {
        requests.close();
    }
}

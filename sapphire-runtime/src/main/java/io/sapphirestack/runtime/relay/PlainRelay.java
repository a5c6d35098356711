package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RateLimitedPlacement;
import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Relays requests whose response is buffered and sent as a whole. Thread-safe. */
final class PlainRelay {

    private static final EventLog LOG = EventLog.of(PlainRelay.class);

    /** Failed connection attempts after which a request is refused as not run. */
    private static final int MAX_CONNECT_FAILURES = 4;

    /** Retry-After of a response if the tried endpoints refused the request, in milliseconds. */
    private static final long BUSY_RETRY_AFTER_MS = 100;

    /** Retry-After of a response if no endpoint can be reached, in milliseconds. */
    private static final long UNREACHABLE_RETRY_AFTER_MS = 300;

    private static final String STEP_CONNECT = "connect";

    private final RelayContext context;
    private final UpstreamPool pool;
    private final StartupWaiter startupWaiter;
    private final CrashGuard crashGuard;
    private final RelayCandidates endpoints;
    private final AttemptObserver observer;
    private final RateLimitedPlacement placement;

    PlainRelay(RelayComponents components) {
        this.context = components.context();
        this.pool = components.pool();
        this.startupWaiter = components.startupWaiter();
        this.crashGuard = components.crashGuard();
        this.endpoints = components.candidates();
        this.observer = components.observer();
        this.placement = components.placement();
    }

    /** Response to one attempt, and whether it says that the endpoint did not run the request. */
    private record AttemptResult(RelayResponse response, boolean notRun) {}

    /** Attempts that were made for one request. Used by one thread. */
    private static final class AttemptHistory {
        private final List<EndpointState> triedEndpoints = new ArrayList<>();
        private int sentCount;
        private boolean hasFailed;
        private int connectFailures;
        private Optional<RelayResponse> lastResponse = Optional.empty();
    }

    /**
     * Relays a request, with retries where they are safe and the retry budget allows them.
     *
     * @param request admitted request
     * @return response to the caller
     * @throws CallerDisconnectedException if the caller closed its connection
     */
    RelayResponse relay(RelayedRequest request) throws CallerDisconnectedException {
        AttemptHistory history = new AttemptHistory();
        context.retryBudget().recordRequest(request.service().name());
        while (true) {
            Optional<RelayResponse> refusal = crashGuard.refusal(request, history.sentCount > 0);
            if (refusal.isPresent()) {
                return refusal.get();
            }
            startupWaiter.awaitEndpoints(request, () -> endpoints.known(request), false);
            List<EndpointState> candidates = endpoints.of(request);
            Optional<EndpointState> endpoint =
                    placement.choose(RelayWorkKind.REQUEST, candidates, history.triedEndpoints);
            if (endpoint.isEmpty()) {
                return history.lastResponse.orElseGet(() -> unplaced(request, candidates));
            }
            Optional<RelayResponse> response = attempt(request, endpoint.get(), history);
            if (response.isPresent()) {
                return response.get();
            }
        }
    }

    /** Returns the response to a request that no endpoint may be sent. */
    private RelayResponse unplaced(RelayedRequest request, List<EndpointState> candidates) {
        return candidates.isEmpty()
                ? endpoints.refusal(request, unplacedReason(request), UNREACHABLE_RETRY_AFTER_MS)
                : RelayResponse.rateLimited(context.rateLimiter().retryAfterMs(candidates));
    }

    private String unplacedReason(RelayedRequest request) {
        return endpoints.known(request).isEmpty()
                ? "no endpoint is known"
                : "no endpoint accepts requests now";
    }

    /** Makes one attempt; returns the final response, or empty if a retry follows. */
    private Optional<RelayResponse> attempt(
            RelayedRequest request, EndpointState endpoint, AttemptHistory history)
            throws CallerDisconnectedException {
        history.triedEndpoints.add(endpoint);
        long startedAtMs = context.clock().nowMs();
        try {
            Optional<AttemptResult> result = sendAttempt(request, endpoint, history);
            if (result.isEmpty()) {
                return Optional.empty();
            }
            history.sentCount++;
            return handleResult(request, result.get(), history);
        } catch (UpstreamException e) {
            context.health().recordUnreachable(endpoint.id());
            long attemptMs = context.clock().nowMs() - startedAtMs;
            if (e.mayHaveRun()) {
                observer.onFailure(request, endpoint, startedAtMs);
            }
            boolean reachable =
                    e.mayHaveRun()
                            && crashGuard.recordFailure(
                                    request, endpoint, startedAtMs, history.hasFailed);
            LOG.info(
                    "SAP1910",
                    "An attempt failed without a complete response",
                    "request",
                    request.id(),
                    "fingerprint",
                    request.fingerprint(),
                    "endpoint",
                    endpoint.id(),
                    "attemptMs",
                    attemptMs,
                    "sent",
                    e.mayHaveRun(),
                    "reachable",
                    reachable,
                    "cause",
                    e.getMessage());
            if (!e.mayHaveRun()) {
                return handleConnectFailure(history);
            }
            return handleAttemptFailure(request, history);
        } catch (RelayFailedException e) {
            return Optional.of(e.response());
        } catch (RelayTimeoutException e) {
            crashGuard.recordTimeout(request, endpoint, startedAtMs, history.hasFailed);
            return Optional.of(
                    history.sentCount == 0 && e.step().equals(STEP_CONNECT)
                            ? RelayResponse.notRun(
                                    "the deadline passed before the request was sent",
                                    BUSY_RETRY_AFTER_MS)
                            : RelayResponse.timedOut("the endpoint did not respond in time"));
        } catch (CallerDisconnectedException e) {
            throw e;
        } catch (ServiceException e) {
            throw new IllegalStateException("unexpected exception while a request was relayed", e);
        }
    }

    /** Sends a request; returns empty if its endpoint wants no more requests before that. */
    private Optional<AttemptResult> sendAttempt(
            RelayedRequest request, EndpointState endpoint, AttemptHistory history)
            throws ServiceException {
        long remainingMs = request.remainingMs(context.clock());
        if (remainingMs <= 0) {
            throw new RelayTimeoutException(
                    history.sentCount == 0 ? STEP_CONNECT : "repeat", endpoint.address());
        }
        context.health().recordSelection(endpoint.id());
        context.metrics().recordAttempt(history.sentCount == 0 ? "first" : "repeat");
        UpstreamConnection connection = pool.acquire(endpoint, request);
        if (endpoints.isWithdrawn(request, endpoint)) {
            connection.close();
            return Optional.empty();
        }
        try (DispatchPermit permit =
                context.inFlight().begin(endpoint.id(), RelayWorkKind.REQUEST.weight())) {
            long sentAtMs = context.clock().nowMs();
            connection.send(request, request.headersFor(endpoint, context.clock()));
            AttemptResult result = receiveResult(request, connection, sentAtMs);
            pool.release(connection);
            return Optional.of(result);
        } catch (ServiceException e) {
            connection.close();
            throw e;
        }
    }

    private AttemptResult receiveResult(
            RelayedRequest request, UpstreamConnection connection, long sentAtMs)
            throws ServiceException {
        EndpointState endpoint = connection.endpoint();
        UpstreamConnection.WaitCheck check =
                () -> {
                    request.checkActive(context.clock(), endpoint.address());
                    crashGuard.checkWait(request, endpoint.address());
                };
        UpstreamResponseHead head = ResponseChecks.receiveHead(connection, request, check);
        observer.onHead(head, request, endpoint, sentAtMs);
        byte[] body = connection.readBody(request.exchange().memory(), check);
        boolean notRun = ResponseChecks.isNotRun(head, request.headers());
        if (!notRun) {
            crashGuard.recordAnswer(request);
        }
        context.health().recordResponse(endpoint.id(), head.status() >= 500 && !notRun);
        return new AttemptResult(RelayResponse.ofEndpoint(head, body), notRun);
    }

    private Optional<RelayResponse> handleResult(
            RelayedRequest request, AttemptResult result, AttemptHistory history) {
        RelayResponse response = result.response();
        if (result.notRun()) {
            if (tryStartRetry(request, history)) {
                return Optional.empty();
            }
            return Optional.of(
                    history.lastResponse.orElseGet(
                            () ->
                                    endpoints.refusal(
                                            request,
                                            "each endpoint that was tried refused the request",
                                            BUSY_RETRY_AFTER_MS)));
        }
        if (response.status() >= 500) {
            history.lastResponse = Optional.of(response);
            if (request.route().kind().isSafeToRetry() && tryStartRetry(request, history)) {
                return Optional.empty();
            }
        }
        return Optional.of(response);
    }

    private Optional<RelayResponse> handleAttemptFailure(
            RelayedRequest request, AttemptHistory history) {
        history.sentCount++;
        history.hasFailed = true;
        history.lastResponse =
                Optional.of(
                        history.lastResponse.orElseGet(
                                () ->
                                        RelayResponse.outcomeUnknown(
                                                "the endpoint did not send a complete valid response")));
        return request.route().kind().isSafeToRetry() && tryStartRetry(request, history)
                ? Optional.empty()
                : history.lastResponse;
    }

    private static Optional<RelayResponse> handleConnectFailure(AttemptHistory history) {
        history.connectFailures++;
        if (history.connectFailures < MAX_CONNECT_FAILURES) {
            return Optional.empty();
        }
        return Optional.of(
                history.lastResponse.orElseGet(
                        () ->
                                RelayResponse.notRun(
                                        "no endpoint can be reached", UNREACHABLE_RETRY_AFTER_MS)));
    }

    private boolean tryStartRetry(RelayedRequest request, AttemptHistory history) {
        return history.sentCount < request.route().maxAttempts()
                && request.remainingMs(context.clock()) > 0
                && context.retryBudget().tryRetry(request.service().name());
    }
}

package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.routing.DispatchGuard;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.PrefixHashes;
import io.sapphirestack.core.routing.RoutingRequest;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.routing.WorkKind;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;

/**
 * Dispatches one reserved order, at most once. After a byte may have been sent, a further attempt
 * is made only if the endpoint responds that the order was not executed. Runs on a separate thread,
 * so that a response that arrives after the deadline of the caller is still recorded.
 */
final class OrderDispatch implements Runnable {

    private static final Logger LOG = Logger.getLogger(OrderDispatch.class);
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    // Maximum number of endpoints to call if they refuse or are unreachable. More attempts would
    // only add to the load of a failing service.
    private static final int MAX_ATTEMPTS = 4;
    // Refusal code of the guard that concerns a single endpoint and not this instance.
    private static final String ENDPOINT_REFUSAL_CODE = "no_endpoint";

    private final OrderRequest request;
    private final ServiceSpec spec;
    private final String nonce;
    private final RoutingStrategy routing;
    private final DispatchGuard guard;
    private final PlainConnector connector;
    private final OrderCommitter committer;
    private final OrderOutcomeQuery outcomeQuery;
    private final RequestCrashMonitor crashes;
    private final RequestFingerprint fingerprint;
    private final MillisClock clock;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PREPARING);
    private final CompletableFuture<ServiceResponse> responseFuture = new CompletableFuture<>();

    OrderDispatch(Dependencies dependencies, OrderRequest request, ServiceSpec spec, String nonce) {
        this.request = request;
        this.spec = spec;
        this.nonce = nonce;
        this.routing = dependencies.routing();
        this.guard = dependencies.guard();
        this.connector = dependencies.connector();
        this.committer = dependencies.committer();
        this.outcomeQuery = dependencies.outcomeQuery();
        this.crashes = dependencies.crashes();
        this.clock = dependencies.clock();
        // The idempotency key is left out: an order that comes again may carry a new one.
        this.fingerprint =
                RequestFingerprint.of(
                        request.key().service(),
                        request.key().account().value(),
                        "POST",
                        "",
                        request.body());
    }

    /**
     * Returns a future that completes with the response once its commit is confirmed, and fails
     * with {@link RefusedException} if there is no response or its commit is rejected.
     */
    CompletableFuture<ServiceResponse> response() {
        return responseFuture;
    }

    /**
     * Cancels the dispatch unless a byte may already have been sent.
     *
     * @return true if the order was not executed and will not be; false if it may have been
     *     executed
     */
    boolean abandonUnlessSent() {
        return phase.compareAndSet(Phase.PREPARING, Phase.ABANDONED);
    }

    /**
     * Returns whether the service has responded. The commit of the outcome may not be confirmed
     * yet.
     */
    boolean hasResponse() {
        return phase.get() == Phase.RESPONDED;
    }

    @Override
    public void run() {
        try {
            dispatch();
        } catch (RefusedException e) {
            if (e.refusal().executed() == ExecutionState.NO) {
                committer.release(request.key(), nonce);
            }
            responseFuture.completeExceptionally(e);
        } catch (RuntimeException | Error e) {
            // It is not known here whether a byte was sent, so the reservation must not be
            // released.
            LOG.errorf(e, "SAP4011 dispatch of order %s failed unexpectedly", request.key());
            responseFuture.completeExceptionally(
                    OrderRefusals.outcomeUnknown(
                            "dispatch", "local", "The dispatch failed unexpectedly."));
        }
    }

    private void dispatch() throws RefusedException {
        OptionalLong quarantinedMs = crashes.remainingMs(fingerprint);
        if (quarantinedMs.isPresent()) {
            throw OrderRefusals.quarantined(ExecutionState.NO, quarantinedMs.getAsLong());
        }
        Set<EndpointId> excluded = new HashSet<>();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            EndpointState endpoint =
                    routing.choose(routingRequest(excluded)).orElseThrow(OrderRefusals::noEndpoint);
            excluded.add(endpoint.id());
            if (attemptAt(endpoint)) {
                return;
            }
        }
        throw OrderRefusals.noEndpoint();
    }

    private RoutingRequest routingRequest(Set<EndpointId> excluded) {
        return new RoutingRequest(
                WorkKind.ORDER,
                request.key().service(),
                request.key().account(),
                Optional.empty(),
                PrefixHashes.NONE,
                excluded);
    }

    /**
     * Makes an attempt at an endpoint. Returns false if the order was certainly not executed there
     * and another endpoint may be called; otherwise the dispatch is finished.
     */
    private boolean attemptAt(EndpointState endpoint) throws RefusedException {
        long startedAtMs = clock.nowMs();
        long remainingMs = request.deadlineMs() - startedAtMs;
        if (remainingMs <= 0 || phase.get() == Phase.ABANDONED) {
            throw OrderRefusals.deadlineExceeded("connect", endpoint.address(), ExecutionState.NO);
        }
        try (PlainConnection connection =
                connector.open(
                        endpoint.address(),
                        Math.min(remainingMs, CONNECT_TIMEOUT_MS),
                        spec.orderTimeoutMs())) {
            return sendIfPermitted(connection, endpoint);
        } catch (EndpointException e) {
            if (!e.maybeSent()) {
                LOG.debugf(e, "order was not sent to endpoint %s", endpoint.id());
                phase.compareAndSet(Phase.WRITING, Phase.PREPARING);
                return false;
            }
            if (e.timedOut()) {
                crashes.recordTimeout(fingerprint, PromptParts.NONE, endpoint, startedAtMs);
            } else {
                crashes.recordFailure(fingerprint, PromptParts.NONE, endpoint, startedAtMs);
            }
            return handleMissingResponse(endpoint, e);
        }
    }

    private boolean sendIfPermitted(PlainConnection connection, EndpointState endpoint)
            throws RefusedException, EndpointException {
        DispatchPermit permit;
        try {
            permit = guard.begin(endpoint, WorkKind.ORDER);
        } catch (RefusedException e) {
            if (e.refusal().code().equals(ENDPOINT_REFUSAL_CODE)) {
                return false;
            }
            throw e;
        }
        try {
            // Checked after the last step that can block, because the process may have been paused.
            if (clock.nowMs() >= request.deadlineMs()
                    || !phase.compareAndSet(Phase.PREPARING, Phase.WRITING)) {
                throw OrderRefusals.deadlineExceeded("send", endpoint.address(), ExecutionState.NO);
            }
            PlainResponse response =
                    connection.send(
                            "POST",
                            OrderHttpRequests.path(request.key()),
                            OrderHttpRequests.headers(request),
                            request.body());
            if (response.notExecuted()) {
                phase.set(Phase.PREPARING);
                return false;
            }
            phase.set(Phase.RESPONDED);
            crashes.recordAnswer(fingerprint);
            commitOutcome(response, endpoint.id().value());
            return true;
        } finally {
            permit.close();
        }
    }

    private boolean handleMissingResponse(EndpointState endpoint, EndpointException failure) {
        LOG.infof(
                "SAP4012 outcome of order %s is unknown after a failed request: %s",
                request.key(), failure.getMessage());
        Optional<PlainResponse> foundResponse =
                outcomeQuery.findOutcome(
                        request.key(), spec, Optional.of(endpoint), request.deadlineMs());
        if (foundResponse.isPresent()) {
            phase.set(Phase.RESPONDED);
            commitOutcome(foundResponse.get(), endpoint.id().value());
        } else {
            responseFuture.completeExceptionally(
                    OrderRefusals.outcomeUnknown(
                            failure.step(),
                            endpoint.address(),
                            "The order was sent but no response was received."));
        }
        return true;
    }

    private void commitOutcome(PlainResponse response, String endpoint) {
        committer
                .complete(request.key(), nonce, response)
                .thenAccept(
                        result -> {
                            if (result instanceof ControlResult.OrderDone) {
                                responseFuture.complete(
                                        new ServiceResponse(
                                                response.status(),
                                                response.contentType(),
                                                response.body(),
                                                endpoint));
                            } else {
                                LOG.warnf(
                                        "SAP4013 outcome of order %s was not recorded: %s",
                                        request.key(), result);
                                responseFuture.completeExceptionally(
                                        OrderRefusals.outcomeUnknown(
                                                "commit",
                                                "local",
                                                "The outcome could not be recorded."));
                            }
                        });
    }

    /** Progress of the dispatch. */
    private enum Phase {
        /** No byte was sent, or the endpoint responded that the order was not executed. */
        PREPARING,
        /** A byte may have been sent. */
        WRITING,
        /** The service has responded. */
        RESPONDED,
        /** The caller stopped waiting before a byte was sent. */
        ABANDONED
    }

    /**
     * Collaborators that all dispatches of an instance share.
     *
     * @param routing chooses endpoints
     * @param guard final check before the first byte is sent
     * @param connector opens connections to endpoints
     * @param committer commits releases and outcomes to the control log
     * @param outcomeQuery queries endpoints for outcomes
     * @param crashes tells which orders crash endpoints
     * @param clock monotonic clock
     */
    record Dependencies(
            RoutingStrategy routing,
            DispatchGuard guard,
            PlainConnector connector,
            OrderCommitter committer,
            OrderOutcomeQuery outcomeQuery,
            RequestCrashMonitor crashes,
            MillisClock clock) {}
}

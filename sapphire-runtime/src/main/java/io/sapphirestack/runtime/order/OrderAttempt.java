package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.EndpointId;
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
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.jboss.logging.Logger;

/**
 * Dispatches one reserved order, at most once: after a byte may have been written, only an endpoint
 * that says "not run" allows another try. Runs on a thread of its own so that an answer that comes
 * after the caller's deadline is still recorded.
 */
final class OrderAttempt implements Runnable {

    private static final Logger LOG = Logger.getLogger(OrderAttempt.class);
    private static final long CONNECT_TIMEOUT_MS = 1_000;
    // Endpoints that refuse or cannot be reached; more would only add to a failing service's load.
    private static final int MAX_TRIES = 4;
    // Refusal of the guard that concerns one endpoint, not this instance.
    private static final String REFUSAL_OF_ENDPOINT = "no_endpoint";

    private final OrderRequest request;
    private final ServiceSpec spec;
    private final String nonce;
    private final RoutingStrategy routing;
    private final DispatchGuard guard;
    private final PlainConnector connector;
    private final OrderCommits commits;
    private final OrderLookUp lookUp;
    private final MillisClock clock;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PREPARING);
    private final CompletableFuture<ServiceResponse> settled = new CompletableFuture<>();

    OrderAttempt(Parts parts, OrderRequest request, ServiceSpec spec, String nonce) {
        this.request = request;
        this.spec = spec;
        this.nonce = nonce;
        this.routing = parts.routing();
        this.guard = parts.guard();
        this.connector = parts.connector();
        this.commits = parts.commits();
        this.lookUp = parts.lookUp();
        this.clock = parts.clock();
    }

    /**
     * Returns the answer, once its commit is confirmed; fails with {@link RefusedException} if
     * there is none.
     */
    CompletableFuture<ServiceResponse> settled() {
        return settled;
    }

    /**
     * Gives up the attempt if no byte may have been written yet.
     *
     * @return whether the order did not run and will not; otherwise it may have run
     */
    boolean abandon() {
        return phase.compareAndSet(Phase.PREPARING, Phase.ABANDONED);
    }

    /** Returns whether the service has answered, although the commit may be unconfirmed. */
    boolean answered() {
        return phase.get() == Phase.ANSWERED;
    }

    @Override
    public void run() {
        try {
            dispatch();
        } catch (RefusedException e) {
            if (e.refusal().executed() == ExecutionState.NO) {
                commits.release(request.key(), nonce);
            }
            settled.completeExceptionally(e);
        } catch (RuntimeException | Error e) {
            // Whether a byte was written is not known here, so the reservation stays.
            LOG.errorf(e, "SAP4011 order %s failed", request.key());
            settled.completeExceptionally(
                    OrderRefusals.unknown("dispatch", "local", "The dispatch failed."));
        }
    }

    private void dispatch() throws RefusedException {
        Set<EndpointId> excluded = new HashSet<>();
        for (int i = 0; i < MAX_TRIES; i++) {
            EndpointState endpoint =
                    routing.choose(routingRequest(excluded)).orElseThrow(OrderRefusals::noEndpoint);
            excluded.add(endpoint.id());
            if (dispatchTo(endpoint)) {
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

    /** Returns whether the attempt is settled; otherwise nothing ran at this endpoint. */
    private boolean dispatchTo(EndpointState endpoint) throws RefusedException {
        long leftMs = request.deadlineMs() - clock.nowMs();
        if (leftMs <= 0 || phase.get() == Phase.ABANDONED) {
            throw OrderRefusals.deadline("connect", endpoint.address(), ExecutionState.NO);
        }
        try (PlainConnection connection =
                connector.open(
                        endpoint.address(),
                        Math.min(leftMs, CONNECT_TIMEOUT_MS),
                        spec.orderTimeoutMs())) {
            return sendOver(connection, endpoint);
        } catch (EndpointException e) {
            if (!e.maybeSent()) {
                LOG.debugf(e, "order was not sent to %s", endpoint.id());
                phase.compareAndSet(Phase.WRITING, Phase.PREPARING);
                return false;
            }
            return settleUnanswered(endpoint, e);
        }
    }

    private boolean sendOver(PlainConnection connection, EndpointState endpoint)
            throws RefusedException, EndpointException {
        DispatchPermit permit;
        try {
            permit = guard.begin(endpoint, WorkKind.ORDER);
        } catch (RefusedException e) {
            if (e.refusal().code().equals(REFUSAL_OF_ENDPOINT)) {
                return false;
            }
            throw e;
        }
        try {
            // Checked after every step that can block, since the process may have been paused.
            if (clock.nowMs() >= request.deadlineMs()
                    || !phase.compareAndSet(Phase.PREPARING, Phase.WRITING)) {
                throw OrderRefusals.deadline("send", endpoint.address(), ExecutionState.NO);
            }
            PlainAnswer answer =
                    connection.send(
                            "POST",
                            OrderCall.path(request.key()),
                            OrderCall.headers(request),
                            request.body());
            if (answer.notRun()) {
                phase.set(Phase.PREPARING);
                return false;
            }
            phase.set(Phase.ANSWERED);
            settle(answer, endpoint.id().value());
            return true;
        } finally {
            permit.close();
        }
    }

    private boolean settleUnanswered(EndpointState endpoint, EndpointException failure) {
        LOG.infof("SAP4012 order %s has no known outcome: %s", request.key(), failure.getMessage());
        Optional<PlainAnswer> found =
                lookUp.find(request.key(), spec, Optional.of(endpoint), request.deadlineMs());
        if (found.isPresent()) {
            phase.set(Phase.ANSWERED);
            settle(found.get(), endpoint.id().value());
        } else {
            settled.completeExceptionally(
                    OrderRefusals.unknown(
                            failure.step(),
                            endpoint.address(),
                            "The order was sent but its answer did not come."));
        }
        return true;
    }

    private void settle(PlainAnswer answer, String endpoint) {
        commits.complete(request.key(), nonce, answer)
                .thenAccept(
                        result -> {
                            if (result instanceof ControlResult.OrderDone) {
                                settled.complete(
                                        new ServiceResponse(
                                                answer.status(),
                                                answer.contentType(),
                                                answer.body(),
                                                endpoint));
                            } else {
                                LOG.warnf(
                                        "SAP4013 outcome of order %s was not kept: %s",
                                        request.key(), result);
                                settled.completeExceptionally(
                                        OrderRefusals.unknown(
                                                "commit",
                                                "local",
                                                "The outcome could not be recorded."));
                            }
                        });
    }

    /** How far the attempt is. */
    private enum Phase {
        /** No byte was written, or the endpoint said that nothing ran. */
        PREPARING,
        /** A byte may have been written. */
        WRITING,
        /** The service has answered. */
        ANSWERED,
        /** The caller gave up before a byte was written. */
        ABANDONED
    }

    /**
     * Parts that all attempts of an instance share.
     *
     * @param routing chooses endpoints
     * @param guard last check before the first byte
     * @param connector opens connections
     * @param commits commits releases and outcomes
     * @param lookUp looks up outcomes
     * @param clock monotonic clock
     */
    record Parts(
            RoutingStrategy routing,
            DispatchGuard guard,
            PlainConnector connector,
            OrderCommits commits,
            OrderLookUp lookUp,
            MillisClock clock) {}
}

package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.routing.DispatchGuard;
import io.sapphirestack.core.routing.RoutingStrategy;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.ControlException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Executes orders at most once. The order is reserved in the control log before the first byte is
 * sent, only the holder of the reservation dispatches it, and the outcome is committed to the log
 * before the response is returned to the caller. Thread-safe.
 */
public final class DefaultOrderService implements OrderService {

    private static final long READ_TIMEOUT_MS = 2_000;
    private static final long POLL_INTERVAL_MS = 100;

    private final Blackboard blackboard;
    private final ControlClient control;
    private final Function<String, Optional<ServiceSpec>> services;
    private final Supplier<String> nonceSupplier;
    private final Executor dispatchExecutor;
    private final WaitStrategy waitStrategy;
    private final MillisClock clock;
    private final OrderCommitter committer;
    private final OrderOutcomeQuery outcomeQuery;
    private final OrderDispatch.Dependencies dispatchDependencies;

    /**
     * Creates the service.
     *
     * @param blackboard shared state of this instance
     * @param control client of the control log
     * @param services returns the specification of a service, empty if there is none
     * @param routing chooses endpoints
     * @param guard final check before the first byte is sent
     * @param connector opens connections to endpoints
     * @param runtime executors, clock and nonces
     */
    public DefaultOrderService(
            Blackboard blackboard,
            ControlClient control,
            Function<String, Optional<ServiceSpec>> services,
            RoutingStrategy routing,
            DispatchGuard guard,
            PlainConnector connector,
            OrderRuntime runtime) {
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.control = Objects.requireNonNull(control, "control");
        this.services = Objects.requireNonNull(services, "services");
        this.nonceSupplier = runtime.nonceSupplier();
        this.dispatchExecutor = runtime.dispatchExecutor();
        this.waitStrategy = runtime.waitStrategy();
        this.clock = runtime.clock();
        this.committer = new OrderCommitter(control, runtime.delayedExecutor());
        this.outcomeQuery = new OrderOutcomeQuery(blackboard.endpoints()::read, connector, clock);
        this.dispatchDependencies =
                new OrderDispatch.Dependencies(
                        Objects.requireNonNull(routing, "routing"),
                        Objects.requireNonNull(guard, "guard"),
                        Objects.requireNonNull(connector, "connector"),
                        committer,
                        outcomeQuery,
                        runtime.crashes(),
                        clock);
    }

    @Override
    public ServiceResponse submit(OrderRequest request) throws RefusedException {
        ServiceSpec spec = spec(request.key());
        InstanceRef self = blackboard.self().read().orElseThrow(OrderRefusals::notReady);
        String bodyHash = sha256(request.body());
        // If the key was reserved earlier, the order may have been executed under that reservation.
        ExecutionState executed = ExecutionState.NO;
        while (true) {
            if (clock.nowMs() >= request.deadlineMs()) {
                throw OrderRefusals.deadlineExceeded("reserve", "local", executed);
            }
            String nonce = nonceSupplier.get();
            ControlResult result = reserve(request, bodyHash, self, nonce, executed);
            if (result instanceof ControlResult.OrderGranted granted
                    && granted.nonce().equals(nonce)) {
                return dispatch(request, spec, nonce);
            }
            if (result instanceof ControlResult.OrderReserved reserved) {
                requireSameBody(bodyHash, reserved.bodyHash());
                result = awaitOutcome(request, spec, reserved);
                executed =
                        result instanceof ControlResult.OrderDone
                                ? ExecutionState.YES
                                : ExecutionState.NO;
            }
            if (result instanceof ControlResult.OrderDone done) {
                requireSameBody(bodyHash, done.bodyHash());
                return new ServiceResponse(done.status(), done.contentType(), done.answer(), "");
            }
            if (result instanceof ControlResult.OrderKeyReused) {
                throw OrderRefusals.keyReused();
            }
            if (result instanceof ControlResult.OrderLedgerFull) {
                throw OrderRefusals.ledgerFull();
            }
            // The reservation was released or has expired in the meantime; the loop reserves again.
        }
    }

    @Override
    public ControlResult outcome(OrderKey key) throws RefusedException {
        ServiceSpec spec = spec(key);
        long untilMs = clock.nowMs() + READ_TIMEOUT_MS;
        ControlResult result = readOutcome(key, untilMs, ExecutionState.NO);
        if (result instanceof ControlResult.OrderReserved reserved) {
            return queryAndCommitOutcome(key, spec, reserved, clock.nowMs() + READ_TIMEOUT_MS)
                    .orElse(result);
        }
        return result;
    }

    private ControlResult reserve(
            OrderRequest request,
            String bodyHash,
            InstanceRef self,
            String nonce,
            ExecutionState executed)
            throws RefusedException {
        long timeoutMs = Math.max(1, request.deadlineMs() - clock.nowMs());
        try {
            Optional<ControlResult> result =
                    waitStrategy.await(
                            control.submit(
                                    new ControlCommand.ReserveOrder(
                                            request.key(), bodyHash, self, nonce),
                                    timeoutMs),
                            request.deadlineMs());
            if (result.isPresent()) {
                return result.get();
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ControlException failure && !failure.maybeApplied()) {
                throw OrderRefusals.controlUnavailable(executed);
            }
        }
        // The reservation may still be granted, but it will not be used.
        committer.release(request.key(), nonce);
        throw OrderRefusals.controlUnavailable(executed);
    }

    private ServiceResponse dispatch(OrderRequest request, ServiceSpec spec, String nonce)
            throws RefusedException {
        OrderDispatch dispatch = new OrderDispatch(dispatchDependencies, request, spec, nonce);
        try {
            dispatchExecutor.execute(dispatch);
        } catch (RejectedExecutionException e) {
            committer.release(request.key(), nonce);
            throw OrderRefusals.overloaded("orders");
        }
        try {
            Optional<ServiceResponse> response =
                    waitStrategy.await(dispatch.response(), request.deadlineMs());
            if (response.isPresent()) {
                return response.get();
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RefusedException refused) {
                throw refused;
            }
            throw new IllegalStateException(
                    "an order dispatch must fail with a RefusedException only", e);
        }
        if (dispatch.abandonUnlessSent()) {
            throw OrderRefusals.deadlineExceeded("dispatch", "local", ExecutionState.NO);
        }
        if (dispatch.hasResponse()) {
            throw OrderRefusals.outcomeUnknown(
                    "commit", "local", "The outcome was not recorded before the deadline.");
        }
        throw OrderRefusals.deadlineExceeded("receive", "local", ExecutionState.UNKNOWN);
    }

    /**
     * Waits while another request holds the reservation. Returns the first result other than a
     * reservation, or the outcome found at an endpoint.
     */
    private ControlResult awaitOutcome(
            OrderRequest request, ServiceSpec spec, ControlResult.OrderReserved first)
            throws RefusedException {
        ControlResult.OrderReserved reserved = first;
        boolean holderEvicted = !blackboard.control().read().isLive(reserved.holder());
        if (holderEvicted) {
            Optional<ControlResult> outcome =
                    queryAndCommitOutcome(request.key(), spec, reserved, request.deadlineMs());
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        while (clock.nowMs() < request.deadlineMs()) {
            waitStrategy.pauseUntil(
                    Math.min(clock.nowMs() + POLL_INTERVAL_MS, request.deadlineMs()));
            ControlResult result =
                    readOutcome(request.key(), request.deadlineMs(), ExecutionState.UNKNOWN);
            if (!(result instanceof ControlResult.OrderReserved current)) {
                return result;
            }
            reserved = current;
        }
        // The last query may exceed the deadline by one read timeout, because otherwise it would
        // have no time left.
        return queryAndCommitOutcome(
                        request.key(), spec, reserved, clock.nowMs() + spec.readTimeoutMs())
                .orElseThrow(
                        () ->
                                OrderRefusals.outcomeUnknown(
                                        "await-outcome",
                                        first.holder().toString(),
                                        "The order is reserved and has no known outcome."));
    }

    private Optional<ControlResult> queryAndCommitOutcome(
            OrderKey key, ServiceSpec spec, ControlResult.OrderReserved reserved, long untilMs)
            throws RefusedException {
        Optional<PlainResponse> outcome =
                outcomeQuery.findOutcome(key, spec, Optional.empty(), untilMs);
        if (outcome.isEmpty()) {
            return Optional.empty();
        }
        try {
            return waitStrategy
                    .await(
                            committer.complete(key, reserved.nonce(), outcome.get()),
                            clock.nowMs() + READ_TIMEOUT_MS)
                    .filter(ControlResult.OrderDone.class::isInstance);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the future of a commit must not fail", e);
        }
    }

    private ControlResult readOutcome(OrderKey key, long untilMs, ExecutionState executed)
            throws RefusedException {
        long timeoutMs = Math.max(1, Math.min(READ_TIMEOUT_MS, untilMs - clock.nowMs()));
        try {
            Optional<ControlResult> result =
                    waitStrategy.await(
                            control.submit(new ControlCommand.ReadOrder(key), timeoutMs),
                            clock.nowMs() + timeoutMs);
            if (result.isPresent()) {
                return result.get();
            }
        } catch (ExecutionException e) {
            throw new RefusedException(OrderRefusals.controlUnavailable(executed).refusal(), e);
        }
        throw OrderRefusals.controlUnavailable(executed);
    }

    private ServiceSpec spec(OrderKey key) throws RefusedException {
        return services.apply(key.service())
                .filter(spec -> spec.type() == ServiceType.PLAIN)
                .orElseThrow(() -> OrderRefusals.notFound(key.service()));
    }

    private static void requireSameBody(String bodyHash, String reservedHash)
            throws RefusedException {
        if (!bodyHash.equals(reservedHash)) {
            throw OrderRefusals.keyReused();
        }
    }

    private static String sha256(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}

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
 * Executes orders at most once: a reservation in the control log comes before the first byte, only
 * its holder dispatches, and the outcome is in the log before the caller is answered. Thread-safe.
 */
public final class DefaultOrderService implements OrderService {

    private static final long READ_TIMEOUT_MS = 2_000;
    private static final long POLL_MS = 100;

    private final Blackboard blackboard;
    private final ControlClient control;
    private final Function<String, Optional<ServiceSpec>> services;
    private final Supplier<String> nonces;
    private final Executor dispatches;
    private final WaitStrategy waits;
    private final MillisClock clock;
    private final OrderCommits commits;
    private final OrderLookUp lookUp;
    private final OrderAttempt.Parts parts;

    /**
     * Creates the service.
     *
     * @param blackboard state of this instance
     * @param control client of the control log
     * @param services resolves the record of a service
     * @param routing chooses endpoints
     * @param guard last check before the first byte
     * @param connector opens connections to endpoints
     * @param runtime threads, time and random identifiers
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
        this.nonces = runtime.nonces();
        this.dispatches = runtime.dispatches();
        this.waits = runtime.waits();
        this.clock = runtime.clock();
        this.commits = new OrderCommits(control, runtime.delayed());
        this.lookUp = new OrderLookUp(blackboard.endpoints()::read, connector, clock);
        this.parts =
                new OrderAttempt.Parts(
                        Objects.requireNonNull(routing, "routing"),
                        Objects.requireNonNull(guard, "guard"),
                        Objects.requireNonNull(connector, "connector"),
                        commits,
                        lookUp,
                        clock);
    }

    @Override
    public ServiceResponse submit(OrderRequest request) throws RefusedException {
        ServiceSpec spec = spec(request.key());
        InstanceRef self = blackboard.self().read().orElseThrow(OrderRefusals::notReady);
        String bodyHash = sha256(request.body());
        // Once an earlier reservation of the key was seen, the order may have run under it.
        ExecutionState ran = ExecutionState.NO;
        while (true) {
            if (clock.nowMs() >= request.deadlineMs()) {
                throw OrderRefusals.deadline("reserve", "local", ran);
            }
            String nonce = nonces.get();
            ControlResult result = reserve(request, bodyHash, self, nonce, ran);
            if (result instanceof ControlResult.OrderGranted granted
                    && granted.nonce().equals(nonce)) {
                return dispatch(request, spec, nonce);
            }
            if (result instanceof ControlResult.OrderReserved reserved) {
                requireSameBody(bodyHash, reserved.bodyHash());
                result = awaitOutcome(request, spec, reserved);
                ran =
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
            // Released or expired meanwhile: the next round reserves anew.
        }
    }

    @Override
    public ControlResult outcome(OrderKey key) throws RefusedException {
        ServiceSpec spec = spec(key);
        long untilMs = clock.nowMs() + READ_TIMEOUT_MS;
        ControlResult result = read(key, untilMs, ExecutionState.NO);
        if (result instanceof ControlResult.OrderReserved reserved) {
            return lookUpAndCommit(key, spec, reserved, clock.nowMs() + READ_TIMEOUT_MS)
                    .orElse(result);
        }
        return result;
    }

    private ControlResult reserve(
            OrderRequest request,
            String bodyHash,
            InstanceRef self,
            String nonce,
            ExecutionState ran)
            throws RefusedException {
        long timeoutMs = Math.max(1, request.deadlineMs() - clock.nowMs());
        try {
            Optional<ControlResult> result =
                    waits.await(
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
                throw OrderRefusals.controlUnavailable(ran);
            }
        }
        // The reservation may be granted later, but it is never used.
        commits.release(request.key(), nonce);
        throw OrderRefusals.controlUnavailable(ran);
    }

    private ServiceResponse dispatch(OrderRequest request, ServiceSpec spec, String nonce)
            throws RefusedException {
        OrderAttempt attempt = new OrderAttempt(parts, request, spec, nonce);
        try {
            dispatches.execute(attempt);
        } catch (RejectedExecutionException e) {
            commits.release(request.key(), nonce);
            throw OrderRefusals.overloaded("orders");
        }
        try {
            Optional<ServiceResponse> answer = waits.await(attempt.settled(), request.deadlineMs());
            if (answer.isPresent()) {
                return answer.get();
            }
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RefusedException refused) {
                throw refused;
            }
            throw new IllegalStateException("an attempt fails with refusals only", e);
        }
        if (attempt.abandon()) {
            throw OrderRefusals.deadline("dispatch", "local", ExecutionState.NO);
        }
        if (attempt.answered()) {
            throw OrderRefusals.unknown(
                    "commit", "local", "The outcome was not recorded before the deadline.");
        }
        throw OrderRefusals.deadline("receive", "local", ExecutionState.UNKNOWN);
    }

    /** Waits while another request holds the reservation. */
    private ControlResult awaitOutcome(
            OrderRequest request, ServiceSpec spec, ControlResult.OrderReserved first)
            throws RefusedException {
        ControlResult.OrderReserved reserved = first;
        boolean holderGone = !blackboard.control().read().isLive(reserved.holder());
        if (holderGone) {
            Optional<ControlResult> found =
                    lookUpAndCommit(request.key(), spec, reserved, request.deadlineMs());
            if (found.isPresent()) {
                return found.get();
            }
        }
        while (clock.nowMs() < request.deadlineMs()) {
            waits.pauseUntil(Math.min(clock.nowMs() + POLL_MS, request.deadlineMs()));
            ControlResult result =
                    read(request.key(), request.deadlineMs(), ExecutionState.UNKNOWN);
            if (!(result instanceof ControlResult.OrderReserved again)) {
                return result;
            }
            reserved = again;
        }
        // One read timeout beyond the deadline, so that the last look-up has any time at all.
        return lookUpAndCommit(request.key(), spec, reserved, clock.nowMs() + spec.readTimeoutMs())
                .orElseThrow(
                        () ->
                                OrderRefusals.unknown(
                                        "await-outcome",
                                        first.holder().toString(),
                                        "The order is reserved and has no known outcome."));
    }

    private Optional<ControlResult> lookUpAndCommit(
            OrderKey key, ServiceSpec spec, ControlResult.OrderReserved reserved, long untilMs)
            throws RefusedException {
        Optional<PlainAnswer> found = lookUp.find(key, spec, Optional.empty(), untilMs);
        if (found.isEmpty()) {
            return Optional.empty();
        }
        try {
            return waits.await(
                            commits.complete(key, reserved.nonce(), found.get()),
                            clock.nowMs() + READ_TIMEOUT_MS)
                    .filter(ControlResult.OrderDone.class::isInstance);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a commit never fails", e);
        }
    }

    private ControlResult read(OrderKey key, long untilMs, ExecutionState ran)
            throws RefusedException {
        long timeoutMs = Math.max(1, Math.min(READ_TIMEOUT_MS, untilMs - clock.nowMs()));
        try {
            Optional<ControlResult> result =
                    waits.await(
                            control.submit(new ControlCommand.ReadOrder(key), timeoutMs),
                            clock.nowMs() + timeoutMs);
            if (result.isPresent()) {
                return result.get();
            }
        } catch (ExecutionException e) {
            throw new RefusedException(OrderRefusals.controlUnavailable(ran).refusal(), e);
        }
        throw OrderRefusals.controlUnavailable(ran);
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

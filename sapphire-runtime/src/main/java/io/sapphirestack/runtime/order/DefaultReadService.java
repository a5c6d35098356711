package io.sapphirestack.runtime.order;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
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
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;

/**
 * Executes idempotent reads with short timeouts. They run on a separate executor, so that they do
 * not wait for generations or orders. Thread-safe.
 */
public final class DefaultReadService implements ReadService {

    private static final long MAX_CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_ATTEMPTS = 4;
    // Refusal code of the guard that concerns a single endpoint and not this instance.
    private static final String ENDPOINT_REFUSAL_CODE = "no_endpoint";

    private final Function<String, Optional<ServiceSpec>> services;
    private final RoutingStrategy routing;
    private final DispatchGuard guard;
    private final PlainConnector connector;
    private final ReadRetryBudget retryBudget;
    private final RequestCrashMonitor crashes;
    private final Executor executor;
    private final WaitStrategy waitStrategy;
    private final MillisClock clock;
    private final IdleConnections idleConnections;

    /**
     * Creates the service.
     *
     * @param services returns the specification of a service, empty if there is none
     * @param routing chooses endpoints
     * @param guard final check before the first byte is sent
     * @param connector opens connections to endpoints
     * @param retryBudget limits retries
     * @param crashes tells which reads crash endpoints
     * @param executor bounded executor used by reads only
     * @param waitStrategy blocks the calling thread until the response arrives
     * @param clock monotonic clock
     */
    public DefaultReadService(
            Function<String, Optional<ServiceSpec>> services,
            RoutingStrategy routing,
            DispatchGuard guard,
            PlainConnector connector,
            ReadRetryBudget retryBudget,
            RequestCrashMonitor crashes,
            Executor executor,
            WaitStrategy waitStrategy,
            MillisClock clock) {
        this.services = Objects.requireNonNull(services, "services");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.guard = Objects.requireNonNull(guard, "guard");
        this.connector = Objects.requireNonNull(connector, "connector");
        this.retryBudget = Objects.requireNonNull(retryBudget, "retryBudget");
        this.crashes = Objects.requireNonNull(crashes, "crashes");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.waitStrategy = Objects.requireNonNull(waitStrategy, "waitStrategy");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.idleConnections = new IdleConnections(clock);
    }

    @Override
    public ServiceResponse read(
            AccountId account, String service, String pathAndQuery, long deadlineMs)
            throws RefusedException {
        ServiceSpec spec =
                services.apply(service)
                        .filter(candidate -> candidate.type() == ServiceType.PLAIN)
                        .orElseThrow(() -> OrderRefusals.notFound(service));
        retryBudget.recordRequest(service);
        CompletableFuture<ServiceResponse> response = new CompletableFuture<>();
        try {
            executor.execute(
                    () -> {
                        try {
                            response.complete(
                                    new ReadExecution(
                                                    account,
                                                    service,
                                                    pathAndQuery,
                                                    deadlineMs,
                                                    spec)
                                            .execute());
                        } catch (RefusedException | RuntimeException e) {
                            response.completeExceptionally(e);
                        }
                    });
        } catch (RejectedExecutionException e) {
            throw OrderRefusals.overloaded("reads");
        }
        try {
            return waitStrategy
                    .await(response, deadlineMs)
                    .orElseThrow(
                            () ->
                                    OrderRefusals.deadlineExceeded(
                                            "receive", "local", ExecutionState.UNKNOWN));
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RefusedException refused) {
                throw refused;
            }
            throw new IllegalStateException("a read must fail with a RefusedException only", e);
        }
    }

    /** A read with its retries. Not thread-safe. */
    private final class ReadExecution {

        private final AccountId account;
        private final String service;
        private final String path;
        private final long deadlineMs;
        private final ServiceSpec spec;
        private final RequestFingerprint fingerprint;
        private final Set<EndpointId> excluded = new HashSet<>();
        private ExecutionState executed = ExecutionState.NO;

        ReadExecution(
                AccountId account,
                String service,
                String pathAndQuery,
                long deadlineMs,
                ServiceSpec spec) {
            this.account = account;
            this.service = service;
            this.path = "/read/" + pathAndQuery;
            this.deadlineMs = deadlineMs;
            this.spec = spec;
            this.fingerprint =
                    RequestFingerprint.of(service, account.value(), "GET", path, new byte[0]);
        }

        ServiceResponse execute() throws RefusedException {
            RefusedException lastFailure = OrderRefusals.noEndpoint();
            for (int i = 0; i < MAX_ATTEMPTS; i++) {
                if (i > 0 && !retryBudget.tryRetry(service)) {
                    throw lastFailure;
                }
                OptionalLong quarantinedMs = crashes.remainingMs(fingerprint);
                if (quarantinedMs.isPresent()) {
                    throw OrderRefusals.quarantined(executed, quarantinedMs.getAsLong());
                }
                Optional<EndpointState> endpoint = routing.choose(request());
                if (endpoint.isEmpty()) {
                    throw lastFailure;
                }
                Optional<ServiceResponse> response = attemptAt(endpoint.get());
                if (response.isPresent()) {
                    return response.get();
                }
                excluded.add(endpoint.get().id());
                lastFailure = failureOf(endpoint.get());
            }
            throw lastFailure;
        }

        private RoutingRequest request() {
            return new RoutingRequest(
                    WorkKind.READ, service, account, Optional.empty(), PrefixHashes.NONE, excluded);
        }

        private RefusedException failureOf(EndpointState endpoint) {
            return clock.nowMs() >= deadlineMs
                    ? OrderRefusals.deadlineExceeded("receive", endpoint.address(), executed)
                    : OrderRefusals.noResponse(endpoint.address(), executed);
        }

        /**
         * Makes an attempt at an endpoint, over an idle connection if there is one, and over a new
         * connection if that fails. Returns empty if the endpoint refused or did not respond.
         */
        private Optional<ServiceResponse> attemptAt(EndpointState endpoint)
                throws RefusedException {
            long reportedSentAtMs =
                    RequestQuarantine.reportedSentAtMs(
                            clock.nowMs(), executed != ExecutionState.NO);
            boolean maybeSent = false;
            Optional<PlainConnection> reused = idleConnections.take(endpoint.address());
            if (reused.isPresent()) {
                try {
                    return sendIfPermitted(reused.get(), endpoint);
                } catch (EndpointException e) {
                    maybeSent = e.maybeSent();
                    reused.get().close();
                    idleConnections.closeAll(endpoint.address());
                    // That the endpoint has closed an idle connection is normal and costs nothing.
                    // A timeout has cost time, so that a new connection counts as a retry.
                    if (e.timedOut() && !retryBudget.tryRetry(service)) {
                        crashes.recordTimeout(
                                fingerprint, PromptParts.NONE, endpoint, reportedSentAtMs);
                        return Optional.empty();
                    }
                }
            }
            long remainingMs = deadlineMs - clock.nowMs();
            if (remainingMs <= 0) {
                return Optional.empty();
            }
            PlainConnection connection = null;
            try {
                connection =
                        connector.open(
                                endpoint.address(),
                                Math.min(remainingMs, MAX_CONNECT_TIMEOUT_MS),
                                spec.readTimeoutMs());
                return sendIfPermitted(connection, endpoint);
            } catch (EndpointException e) {
                if (connection != null) {
                    connection.close();
                }
                if (maybeSent || e.maybeSent()) {
                    crashes.recordFailure(
                            fingerprint, PromptParts.NONE, endpoint, reportedSentAtMs);
                }
                return Optional.empty();
            }
        }

        private Optional<ServiceResponse> sendIfPermitted(
                PlainConnection connection, EndpointState endpoint)
                throws RefusedException, EndpointException {
            DispatchPermit permit;
            try {
                permit = guard.begin(endpoint, WorkKind.READ);
            } catch (RefusedException e) {
                connection.close();
                if (e.refusal().code().equals(ENDPOINT_REFUSAL_CODE)) {
                    return Optional.empty();
                }
                throw e;
            }
            PlainResponse response;
            try {
                if (clock.nowMs() >= deadlineMs) {
                    connection.close();
                    throw OrderRefusals.deadlineExceeded("send", endpoint.address(), executed);
                }
                executed = ExecutionState.UNKNOWN;
                response =
                        connection.send(
                                "GET", path, Map.of("Sapphire-Account", account.value()), null);
            } finally {
                permit.close();
            }
            if (response.connectionReusable()) {
                idleConnections.release(endpoint.address(), connection);
            } else {
                connection.close();
            }
            if (response.notExecuted()) {
                return Optional.empty();
            }
            crashes.recordAnswer(fingerprint);
            return Optional.of(
                    new ServiceResponse(
                            response.status(),
                            response.contentType(),
                            response.body(),
                            endpoint.id().value()));
        }
    }
}

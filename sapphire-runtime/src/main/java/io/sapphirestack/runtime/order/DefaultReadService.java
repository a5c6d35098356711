package io.sapphirestack.runtime.order;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
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
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;

/**
 * Executes idempotent reads with short timeouts, on threads of their own, so that they never wait
 * behind generations or orders. Thread-safe.
 */
public final class DefaultReadService implements ReadService {

    private static final long MAX_CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_TRIES = 4;
    // Refusal of the guard that concerns one endpoint, not this instance.
    private static final String REFUSAL_OF_ENDPOINT = "no_endpoint";

    private final Function<String, Optional<ServiceSpec>> services;
    private final RoutingStrategy routing;
    private final DispatchGuard guard;
    private final PlainConnector connector;
    private final ReadRetryBudget budget;
    private final Executor executor;
    private final WaitStrategy waits;
    private final MillisClock clock;
    private final IdleConnections idle;

    /**
     * Creates the service.
     *
     * @param services resolves the record of a service
     * @param routing chooses endpoints
     * @param guard last check before the first byte
     * @param connector opens connections to endpoints
     * @param budget limits retries
     * @param executor bounded executor that only reads use
     * @param waits blocks callers
     * @param clock monotonic clock
     */
    public DefaultReadService(
            Function<String, Optional<ServiceSpec>> services,
            RoutingStrategy routing,
            DispatchGuard guard,
            PlainConnector connector,
            ReadRetryBudget budget,
            Executor executor,
            WaitStrategy waits,
            MillisClock clock) {
        this.services = Objects.requireNonNull(services, "services");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.guard = Objects.requireNonNull(guard, "guard");
        this.connector = Objects.requireNonNull(connector, "connector");
        this.budget = Objects.requireNonNull(budget, "budget");
        this.executor = Objects.requireNonNull(executor, "executor");
        this.waits = Objects.requireNonNull(waits, "waits");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.idle = new IdleConnections(clock);
    }

    @Override
    public ServiceResponse read(
            AccountId account, String service, String pathAndQuery, long deadlineMs)
            throws RefusedException {
        ServiceSpec spec =
                services.apply(service)
                        .filter(candidate -> candidate.type() == ServiceType.PLAIN)
                        .orElseThrow(() -> OrderRefusals.notFound(service));
        budget.recordRequest(service);
        CompletableFuture<ServiceResponse> answer = new CompletableFuture<>();
        try {
            executor.execute(
                    () -> {
                        try {
                            answer.complete(
                                    new Read(account, service, pathAndQuery, deadlineMs, spec)
                                            .execute());
                        } catch (RefusedException | RuntimeException e) {
                            answer.completeExceptionally(e);
                        }
                    });
        } catch (RejectedExecutionException e) {
            throw OrderRefusals.overloaded("reads");
        }
        try {
            return waits.await(answer, deadlineMs)
                    .orElseThrow(
                            () ->
                                    OrderRefusals.deadline(
                                            "receive", "local", ExecutionState.UNKNOWN));
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RefusedException refused) {
                throw refused;
            }
            throw new IllegalStateException("a read fails with refusals only", e);
        }
    }

    /** One read with its retries. Used by one thread. */
    private final class Read {

        private final AccountId account;
        private final String service;
        private final String path;
        private final long deadlineMs;
        private final ServiceSpec spec;
        private final Set<EndpointId> excluded = new HashSet<>();
        private ExecutionState ran = ExecutionState.NO;

        Read(
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
        }

        ServiceResponse execute() throws RefusedException {
            RefusedException last = OrderRefusals.noEndpoint();
            for (int i = 0; i < MAX_TRIES; i++) {
                if (i > 0 && !budget.tryRetry(service)) {
                    throw last;
                }
                Optional<EndpointState> endpoint = routing.choose(request());
                if (endpoint.isEmpty()) {
                    throw last;
                }
                Optional<ServiceResponse> answer = tryEndpoint(endpoint.get());
                if (answer.isPresent()) {
                    return answer.get();
                }
                excluded.add(endpoint.get().id());
                last = failed(endpoint.get());
            }
            throw last;
        }

        private RoutingRequest request() {
            return new RoutingRequest(
                    WorkKind.READ, service, account, Optional.empty(), PrefixHashes.NONE, excluded);
        }

        private RefusedException failed(EndpointState endpoint) {
            return clock.nowMs() >= deadlineMs
                    ? OrderRefusals.deadline("receive", endpoint.address(), ran)
                    : OrderRefusals.unanswered(endpoint.address(), ran);
        }

        /** Reads from an endpoint, over an idle connection and then over a new one. */
        private Optional<ServiceResponse> tryEndpoint(EndpointState endpoint)
                throws RefusedException {
            Optional<PlainConnection> reused = idle.take(endpoint.address());
            if (reused.isPresent()) {
                try {
                    return exchange(reused.get(), endpoint);
                } catch (EndpointException e) {
                    reused.get().close();
                    idle.drop(endpoint.address());
                    // A closed idle connection is normal; a silent one has cost a timeout.
                    if (e.timedOut() && !budget.tryRetry(service)) {
                        return Optional.empty();
                    }
                }
            }
            long leftMs = deadlineMs - clock.nowMs();
            if (leftMs <= 0) {
                return Optional.empty();
            }
            PlainConnection connection = null;
            try {
                connection =
                        connector.open(
                                endpoint.address(),
                                Math.min(leftMs, MAX_CONNECT_TIMEOUT_MS),
                                spec.readTimeoutMs());
                return exchange(connection, endpoint);
            } catch (EndpointException e) {
                if (connection != null) {
                    connection.close();
                }
                return Optional.empty();
            }
        }

        private Optional<ServiceResponse> exchange(
                PlainConnection connection, EndpointState endpoint)
                throws RefusedException, EndpointException {
            DispatchPermit permit;
            try {
                permit = guard.begin(endpoint, WorkKind.READ);
            } catch (RefusedException e) {
                connection.close();
                if (e.refusal().code().equals(REFUSAL_OF_ENDPOINT)) {
                    return Optional.empty();
                }
                throw e;
            }
            PlainAnswer answer;
            try {
                if (clock.nowMs() >= deadlineMs) {
                    connection.close();
                    throw OrderRefusals.deadline("send", endpoint.address(), ran);
                }
                ran = ExecutionState.UNKNOWN;
                answer =
                        connection.send(
                                "GET", path, Map.of("Sapphire-Account", account.value()), null);
            } finally {
                permit.close();
            }
            if (answer.reusable()) {
                idle.keep(endpoint.address(), connection);
            } else {
                connection.close();
            }
            return answer.notRun()
                    ? Optional.empty()
                    : Optional.of(
                            new ServiceResponse(
                                    answer.status(),
                                    answer.contentType(),
                                    answer.body(),
                                    endpoint.id().value()));
        }
    }
}

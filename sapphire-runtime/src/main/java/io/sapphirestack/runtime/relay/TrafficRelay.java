package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.quarantine.PromptParts;
import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.relay.RelayedAccount;
import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficRoute;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.time.ProcessPauseDetector;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Admits requests of callers according to the current traffic plan and relays them to endpoints.
 * Thread-safe.
 */
public final class TrafficRelay implements HttpServerExchange.Handler, AutoCloseable {

    private static final EventLog LOG = EventLog.of(TrafficRelay.class);

    /** Retry-After of an instance that has no traffic plan yet or is stopping, in milliseconds. */
    private static final long NOT_SERVING_RETRY_AFTER_MS = 400;

    /** Maximum number of orders for standby copies that run at the same time. */
    private static final int MAX_COPY_ORDERS = 8;

    /** Retry-After of a request whose account holds its part of the memory, in milliseconds. */
    private static final long MEMORY_RETRY_AFTER_MS = 1_000;

    private final RelayContext context;
    private final UpstreamPool pool;
    private final ThreadPoolExecutor copyOrders;
    private final StartupWaiter startupWaiter;
    private final ProcessPauseDetector pauses;
    private final CrashGuard crashGuard;
    private final PlainRelay plainRelay;
    private final StreamRelay streamRelay;
    private final RelayAdmission admission;
    private final AtomicBoolean refusing = new AtomicBoolean();
    private volatile long requestsEndAtMs = Long.MAX_VALUE;
    private final AtomicInteger openRequests = new AtomicInteger();

    /**
     * Creates a relay.
     *
     * @param context collaborators that the instance provides
     */
    public TrafficRelay(RelayContext context) {
        this.context = Objects.requireNonNull(context, "context");
        this.pool = new UpstreamPool(context.responseLimits(), context.clock());
        this.pauses = new ProcessPauseDetector(context.clock());
        this.startupWaiter = new StartupWaiter(context.clock(), refusing::get);
        this.copyOrders = WorkerPools.createRejecting("copy-order", MAX_COPY_ORDERS);
        RelayComponents components =
                RelayComponents.create(context, pool, startupWaiter, copyOrders);
        this.crashGuard = components.crashGuard();
        this.plainRelay = new PlainRelay(components);
        this.streamRelay = new StreamRelay(components);
        this.admission = components.admission();
    }

    /** Refuses all further requests with a response that says that they did not run. */
    public void refuse() {
        refusing.set(true);
    }

    /** Returns the number of requests that are being served. */
    public int openRequests() {
        return openRequests.get();
    }

    /**
     * Sets the time by which all requests but streams have a response, because the process ends
     * soon after it: a caller must not lose its connection while it waits for the outcome. What was
     * not sent to an endpoint by then is refused as not run.
     *
     * @param atMs time on the monotonic clock, in milliseconds
     */
    public void endRequestsBy(long atMs) {
        requestsEndAtMs = atMs;
    }

    /**
     * Closes expired idle connections, drops the state of endpoints that are no longer known, and
     * logs changes of the quarantine. Called about once a second, by one thread.
     */
    public void sweep() {
        pool.sweep();
        crashGuard.logChanges();
        Map<EndpointId, EndpointState> known = context.endpoints().get().byId();
        context.health().retain(known.keySet());
        context.signals().retain(known.values());
        context.speeds().retain(known.values());
    }

    /**
     * Ends the sends to endpoints whose request has passed its deadline, and notices that the
     * process was paused. Called about every 100 ms.
     */
    public void closeOverdueSends() {
        pool.closeOverdueSends();
        long pauseMs = pauses.tick();
        if (pauseMs > 0) {
            LOG.warn(
                    "SAP1971",
                    "The process was paused; requests that are read now may have arrived meanwhile",
                    "pauseMs",
                    pauseMs);
        }
    }

    @Override
    public void handle(HttpServerExchange exchange) throws IOException {
        openRequests.incrementAndGet();
        try {
            admit(new MeteredExchange(exchange, context));
        } finally {
            openRequests.decrementAndGet();
        }
    }

    private void admit(HttpServerExchange exchange) throws IOException {
        OptionalLong callerTimeoutMs = callerTimeoutMs(exchange);
        Optional<TrafficPlan> plan = awaitPlan(exchange, callerTimeoutMs.orElse(0));
        if (plan.isEmpty() || refusing.get()) {
            refuse(exchange);
            return;
        }
        Optional<TrafficRoute> route =
                plan.get().route(exchange.header("Host").orElse(""), exchange.target());
        if (route.isEmpty()) {
            send(exchange, RelayResponse.generated(404, "no route matches this request"));
            return;
        }
        Optional<RelayedAccount> account =
                exchange.header(context.headers().key()).flatMap(plan.get()::account);
        if (account.isEmpty() && plan.get().needsKeys() && !route.get().isOpen()) {
            send(exchange, RelayResponse.generated(401, "the API key is unknown"));
            return;
        }
        if (account.isPresent() && !exchange.memory().assignTo(account.get().name())) {
            refuseForMemory(exchange, account.get().name());
            return;
        }
        relay(createRelayedRequest(exchange, plan.get(), route.get(), account, callerTimeoutMs));
    }

    private void refuse(HttpServerExchange exchange) throws IOException {
        String reason =
                refusing.get()
                        ? "the instance is stopping"
                        : "the instance knows no traffic plan yet";
        LOG.info(
                "SAP1923",
                "A request was refused before it ran",
                "request",
                exchange.header(context.headers().requestId()).orElse(""),
                "reason",
                reason,
                "retryAfterMs",
                NOT_SERVING_RETRY_AFTER_MS,
                "ageMs",
                context.clock().nowMs() - exchange.receivedAtMs());
        send(exchange, RelayResponse.notRun(reason, NOT_SERVING_RETRY_AFTER_MS));
    }

    /** Refuses a request of an account whose requests and unread responses hold its memory. */
    private void refuseForMemory(HttpServerExchange exchange, String account) throws IOException {
        LOG.info(
                "SAP1944",
                "A request was refused before it ran because its account holds its part of the"
                        + " memory",
                "request",
                exchange.header(context.headers().requestId()).orElse(""),
                "account",
                account,
                "retryAfterMs",
                MEMORY_RETRY_AFTER_MS,
                "ageMs",
                context.clock().nowMs() - exchange.receivedAtMs());
        String reason = "the instance has no memory for further requests of the account";
        send(exchange, RelayResponse.notRun(reason, MEMORY_RETRY_AFTER_MS));
    }

    private Optional<TrafficPlan> awaitPlan(HttpServerExchange exchange, long callerTimeoutMs)
            throws IOException {
        try {
            return startupWaiter.await(exchange, callerTimeoutMs, context.plan());
        } catch (CallerDisconnectedException e) {
            throw new IOException("the caller closed its connection", e);
        }
    }

    /** Returns the timeout that the caller set in milliseconds, empty if it set none. */
    private OptionalLong callerTimeoutMs(HttpServerExchange exchange) {
        return exchange.header(context.headers().deadlineMs()).stream()
                .filter(value -> value.matches("[0-9]{1,12}"))
                .mapToLong(Long::parseLong)
                .findFirst();
    }

    private RelayedRequest createRelayedRequest(
            HttpServerExchange exchange,
            TrafficPlan plan,
            TrafficRoute route,
            Optional<RelayedAccount> account,
            OptionalLong callerTimeoutMs) {
        RelayHeaders headers = context.headers();
        long ownDeadlineAtMs =
                pauses.earliestArrivalMs(exchange.receivedAtMs())
                        + Math.min(callerTimeoutMs.orElse(route.timeoutMs()), route.timeoutMs());
        RelayedService service =
                plan.service(route.pickService(ThreadLocalRandom.current().nextDouble()))
                        .orElseThrow();
        return new RelayedRequest(
                exchange,
                exchange.header(headers.requestId()).orElse(""),
                route,
                service,
                exchange.header(headers.promptParts())
                        .map(PromptParts::parse)
                        .orElse(PromptParts.NONE),
                RequestFingerprint.of(
                        service.name(),
                        account.map(RelayedAccount::name).orElse(""),
                        exchange.method(),
                        exchange.target(),
                        exchange.body()),
                priorityOf(account, route),
                account.map(RelayedAccount::name),
                route.kind().isStream()
                        ? () -> ownDeadlineAtMs
                        : () -> Math.min(ownDeadlineAtMs, requestsEndAtMs),
                headers);
    }

    private static int priorityOf(Optional<RelayedAccount> account, TrafficRoute route) {
        return account.map(RelayedAccount::priority)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    private void relay(RelayedRequest request) throws IOException {
        if (request.remainingMs(context.clock()) <= 0) {
            // The caller may have left and sent the request elsewhere.
            sendPlainResponse(
                    request,
                    RelayResponse.notRun(
                            "the deadline may have passed while the instance was paused",
                            NOT_SERVING_RETRY_AFTER_MS));
            return;
        }
        try (RelayAdmission.Admission admitted = admission.admit(request)) {
            if (request.route().kind().isStream()) {
                streamRelay.relay(request);
            } else {
                sendPlainResponse(request, plainRelay.relay(request));
            }
        } catch (RelayFailedException e) {
            sendPlainResponse(request, e.response());
        } catch (CallerDisconnectedException e) {
            LOG.info(
                    "SAP1917",
                    "A caller closed its connection before it received a response",
                    "request",
                    request.id());
            throw new IOException("the caller closed its connection", e);
        }
    }

    private void sendPlainResponse(RelayedRequest request, RelayResponse response)
            throws IOException {
        if (!response.reason().isEmpty()) {
            logGeneratedResponse(request, response);
        }
        send(request.exchange(), response);
    }

    private void logGeneratedResponse(RelayedRequest request, RelayResponse response) {
        LOG.info(
                "SAP1918",
                "A request received a response of this instance instead of an endpoint",
                "request",
                request.id(),
                "service",
                request.service().name(),
                "status",
                response.status(),
                "reason",
                response.reason(),
                "ageMs",
                context.clock().nowMs() - request.exchange().receivedAtMs());
    }

    private static void send(HttpServerExchange exchange, RelayResponse response)
            throws IOException {
        exchange.sendResponse(response.status(), response.headers(), response.body());
    }

    @Override
    public void close() {
        copyOrders.shutdownNow();
        crashGuard.close();
        pool.close();
    }
}

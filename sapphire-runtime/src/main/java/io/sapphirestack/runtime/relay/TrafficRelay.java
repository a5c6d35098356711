package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.relay.RelayedAccount;
import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficRoute;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Admits requests of callers by the traffic plan in force and relays them. Thread-safe. */
public final class TrafficRelay implements Exchange.Handler, AutoCloseable {

    private static final EventLog LOG = EventLog.of(TrafficRelay.class);

    /** When a caller may come back to an instance that does not serve yet or no longer. */
    private static final long NOT_SERVING_RETRY_MS = 400;

    private final RelayContext context;
    private final UpstreamPool pool;
    private final StartupWait startup;
    private final PlainRelay plain;
    private final StreamRelay streams;
    private final AtomicBoolean refusing = new AtomicBoolean();
    private final AtomicInteger open = new AtomicInteger();

    /**
     * Creates a relay.
     *
     * @param context what it needs of the instance
     */
    public TrafficRelay(RelayContext context) {
        this.context = Objects.requireNonNull(context, "context");
        this.pool = new UpstreamPool(context.clock());
        this.startup = new StartupWait(context.clock(), refusing::get);
        this.plain = new PlainRelay(context, pool, startup);
        this.streams = new StreamRelay(context, pool, startup);
    }

    /** Refuses new requests as not run from now on. */
    public void refuse() {
        refusing.set(true);
    }

    /** Returns the number of requests that are being served. */
    public int openRequests() {
        return open.get();
    }

    /** Closes idle connections that are no longer useful; called about once a second. */
    public void sweep() {
        pool.sweep();
        context.health().retain(context.endpoints().get().byId().keySet());
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        open.incrementAndGet();
        try {
            admit(new CountedExchange(exchange, context));
        } finally {
            open.decrementAndGet();
        }
    }

    private void admit(Exchange exchange) throws IOException {
        OptionalLong callerMs = callerMs(exchange);
        Optional<TrafficPlan> plan = awaitPlan(exchange, callerMs.orElse(0));
        if (plan.isEmpty() || refusing.get()) {
            refuse(exchange);
            return;
        }
        Optional<TrafficRoute> route =
                plan.get().route(exchange.header("Host").orElse(""), exchange.target());
        if (route.isEmpty()) {
            send(exchange, Reply.own(404, "no route selects this request"));
            return;
        }
        Optional<RelayedAccount> account =
                exchange.header(context.headers().key()).flatMap(plan.get()::account);
        if (account.isEmpty() && plan.get().needsKeys() && !route.get().isOpen()) {
            send(exchange, Reply.own(401, "the key is unknown"));
            return;
        }
        relay(admitted(exchange, plan.get(), route.get(), account, callerMs));
    }

    private void refuse(Exchange exchange) throws IOException {
        String reason =
                refusing.get()
                        ? "the instance is stopping"
                        : "the instance knows no traffic plan yet";
        LOG.info(
                "SAP1923",
                "A request was refused as not run",
                "request",
                exchange.header(context.headers().requestId()).orElse(""),
                "reason",
                reason,
                "retryAfterMs",
                NOT_SERVING_RETRY_MS,
                "ageMs",
                context.clock().nowMs() - exchange.receivedAtMs());
        send(exchange, Reply.notRun(reason, NOT_SERVING_RETRY_MS));
    }

    private Optional<TrafficPlan> awaitPlan(Exchange exchange, long callerMs) throws IOException {
        try {
            return startup.await(exchange, callerMs, context.plan());
        } catch (CallerGoneException e) {
            throw new IOException("the caller has left", e);
        }
    }

    /** Returns the time that the caller gives its request, if it says so. */
    private OptionalLong callerMs(Exchange exchange) {
        return exchange.header(context.headers().deadlineMs()).stream()
                .filter(value -> value.matches("[0-9]{1,12}"))
                .mapToLong(Long::parseLong)
                .findFirst();
    }

    private RelayedRequest admitted(
            Exchange exchange,
            TrafficPlan plan,
            TrafficRoute route,
            Optional<RelayedAccount> account,
            OptionalLong callerMs) {
        RelayHeaders headers = context.headers();
        RelayedService service =
                plan.service(route.pickService(ThreadLocalRandom.current().nextDouble()))
                        .orElseThrow();
        return new RelayedRequest(
                exchange,
                exchange.header(headers.requestId()).orElse(""),
                route,
                service,
                account.map(RelayedAccount::name),
                exchange.receivedAtMs()
                        + Math.min(callerMs.orElse(route.timeoutMs()), route.timeoutMs()),
                headers);
    }

    private void relay(RelayedRequest request) throws IOException {
        try {
            if (request.route().kind().isStream()) {
                streams.relay(request);
            } else {
                Reply reply = plain.relay(request);
                if (!reply.reason().isEmpty()) {
                    logOwn(request, reply);
                }
                send(request.exchange(), reply);
            }
        } catch (CallerGoneException e) {
            LOG.info("SAP1917", "A caller left before its answer", "request", request.id());
            throw new IOException("the caller has left", e);
        }
    }

    private void logOwn(RelayedRequest request, Reply reply) {
        LOG.info(
                "SAP1918",
                "A request was not answered by an endpoint",
                "request",
                request.id(),
                "service",
                request.service().name(),
                "status",
                reply.status(),
                "reason",
                reply.reason(),
                "ageMs",
                context.clock().nowMs() - request.exchange().receivedAtMs());
    }

    private static void send(Exchange exchange, Reply reply) throws IOException {
        exchange.answer(reply.status(), reply.headers(), reply.body());
    }

    @Override
    public void close() {
        pool.close();
    }
}

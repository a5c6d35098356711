package io.sapphirestack.runtime.relay;

import io.sapphirestack.core.admission.AdmissionSettings;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.limit.ByteBudget;
import io.sapphirestack.core.limit.NamedRateLimits;
import io.sapphirestack.core.limit.RateLimitTable;
import io.sapphirestack.core.quarantine.CrashHistoryTable;
import io.sapphirestack.core.quarantine.CrashReportTable;
import io.sapphirestack.core.quarantine.PromptQuarantine;
import io.sapphirestack.core.quarantine.RequestQuarantine;
import io.sapphirestack.core.record.RolloutSpec;
import io.sapphirestack.core.relay.CallerAuthentication;
import io.sapphirestack.core.relay.CallerLimits;
import io.sapphirestack.core.relay.CompletionEstimator;
import io.sapphirestack.core.relay.EndpointHealth;
import io.sapphirestack.core.relay.EndpointRateLimiter;
import io.sapphirestack.core.relay.EndpointSignalTable;
import io.sapphirestack.core.relay.EndpointSpeeds;
import io.sapphirestack.core.relay.FleetRetryBudget;
import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.relay.RelayPlacement;
import io.sapphirestack.core.relay.RelayedAccount;
import io.sapphirestack.core.relay.RelayedService;
import io.sapphirestack.core.relay.RequestKind;
import io.sapphirestack.core.relay.ResponseLimits;
import io.sapphirestack.core.relay.TrafficPlan;
import io.sapphirestack.core.relay.TrafficPlanException;
import io.sapphirestack.core.relay.TrafficRoute;
import io.sapphirestack.core.rollout.LocalRollouts;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.InFlightTracker;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.error.ServiceException;
import io.sapphirestack.runtime.metrics.Metrics;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Relay in front of scripted endpoints, with a listener that tests call over TCP connections. */
final class RelayTestBed implements AutoCloseable {

    private static final int READ_TIMEOUT_MS = 10_000;

    /** Message memory, in bytes: a quarter of the heap of deploy/system.toml. */
    private static final long MEMORY_BYTES = 32L * 1024 * 1024;

    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final MillisClock clock = pausableClock();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
    private final AtomicReference<Optional<TrafficPlan>> plan =
            new AtomicReference<>(Optional.empty());

    /** Part of the memory that one account may hold. */
    static final double ACCOUNT_FRACTION = 0.5;

    private final ByteBudget memory = new ByteBudget(MEMORY_BYTES, ACCOUNT_FRACTION);
    private final Map<EndpointId, ObservedLoad> loads = new ConcurrentHashMap<>();
    private final AtomicReference<Map<String, RolloutSpec>> rollouts =
            new AtomicReference<>(Map.of());
    private final EndpointTable table;
    private final AtomicReference<EndpointTable> known;
    private final EndpointSignalTable signals =
            new EndpointSignalTable(EndpointSignalTable.Settings.DEFAULT, () -> 0, clock);
    private final AtomicReference<Runnable> duringPlacement = new AtomicReference<>(() -> {});
    private final TrafficRelay relay;
    private final RelayListener listener;

    RelayTestBed(ScriptedEndpoint... endpoints) throws ServiceException {
        this(CallerLimits.DEFAULT, endpoints);
    }

    RelayTestBed(CallerLimits callerLimits, ScriptedEndpoint... endpoints) throws ServiceException {
        table =
                new EndpointTable(
                        Stream.of(endpoints)
                                .map(ScriptedEndpoint::state)
                                .collect(Collectors.toMap(EndpointState::id, Function.identity())));
        known = new AtomicReference<>(table);
        EndpointHealth health = new EndpointHealth(clock);
        InFlightTracker inFlight = new InFlightTracker(clock);
        // Without jitter, placement prefers the endpoint with the lowest name in availability zone
        // z1.
        RelayPlacement placement =
                new RelayPlacement(
                        "z1",
                        e -> inFlight.inFlight(e.id()),
                        health,
                        () -> {
                            duringPlacement.get().run();
                            return 0;
                        },
                        () -> 1,
                        CompletionEstimator.byWorkInFlight());
        relay =
                new TrafficRelay(
                        new RelayContext(
                                RelayHeaders.DEFAULT,
                                CopyOrderNames.DEFAULT,
                                plan::get,
                                known::get,
                                placement,
                                health,
                                inFlight,
                                new FleetRetryBudget(
                                        new FleetRetryBudget.Settings(1, 10, 10_000),
                                        () -> 1,
                                        clock),
                                new PromptQuarantine(
                                        new CrashReportTable(MillisClock.wall()),
                                        MillisClock.wall()),
                                new RequestQuarantine(
                                        new CrashHistoryTable(MillisClock.wall()),
                                        MillisClock.wall(),
                                        1),
                                new LocalRollouts(rollouts::get, MillisClock.wall()),
                                new EndpointRateLimiter(
                                        new NamedRateLimits(clock),
                                        () -> RateLimitTable.EMPTY,
                                        service -> 1,
                                        () -> 0,
                                        clock),
                                endpoint -> Optional.ofNullable(loads.get(endpoint.id())),
                                new AdmissionSettings(true, true, 1_000, true),
                                signals,
                                new EndpointSpeeds(),
                                ResponseLimits.DEFAULT,
                                new Metrics(),
                                clock));
        listener =
                new RelayListener(
                        "caller", "127.0.0.1:0", 500, relay, () -> callerLimits, memory, clock);
        scheduler.scheduleWithFixedDelay(relay::closeOverdueSends, 100, 100, TimeUnit.MILLISECONDS);
        listener.start(scheduler);
    }

    /**
     * Sets a traffic plan with one route for each kind of request: /read/ (idempotent), /order/
     * (not idempotent) and /stream/ (resumable stream).
     */
    RelayTestBed withTrafficPlan() throws TrafficPlanException {
        return withTrafficPlan(new RelayedService("scribe", true));
    }

    /** Sets the same traffic plan with another definition of its service. */
    RelayTestBed withTrafficPlan(RelayedService service) throws TrafficPlanException {
        return withRoutes(
                service,
                route("/read/", RequestKind.IDEMPOTENT, 1, 2),
                route("/order/", RequestKind.NON_IDEMPOTENT, 1, 2),
                route("/stream/", RequestKind.RESUMABLE_STREAM, 1, 4));
    }

    /** Sets the traffic plan of {@link #withTrafficPlan()} with other accounts. */
    RelayTestBed withAccounts(RelayedAccount... accounts) throws TrafficPlanException {
        plan.set(
                Optional.of(
                        new TrafficPlan(
                                1,
                                List.of(route("/read/", RequestKind.IDEMPOTENT, 1, 2)),
                                List.of(new RelayedService("scribe", true)),
                                CallerAuthentication.byKeysOf(List.of(accounts)),
                                CallerLimits.DEFAULT)));
        return this;
    }

    /** Sets a traffic plan with other routes. */
    RelayTestBed withRoutes(TrafficRoute... routes) throws TrafficPlanException {
        return withRoutes(new RelayedService("scribe", true), routes);
    }

    private RelayTestBed withRoutes(RelayedService service, TrafficRoute... routes)
            throws TrafficPlanException {
        plan.set(
                Optional.of(
                        new TrafficPlan(
                                1,
                                List.of(routes),
                                List.of(service),
                                CallerAuthentication.byKeysOf(
                                        List.of(new RelayedAccount("shop", List.of("k1")))),
                                CallerLimits.DEFAULT)));
        return this;
    }

    private MillisClock pausableClock() {
        MillisClock monotonic = MillisClock.monotonic();
        return () -> monotonic.nowMs() + clockOffsetMs.get();
    }

    /** Moves the clock forward, as if the process had not run meanwhile. */
    void pauseProcess(long durationMs) {
        clockOffsetMs.addAndGet(durationMs);
    }

    /** Sets the load that an endpoint reports. */
    RelayTestBed withLoad(ScriptedEndpoint endpoint, ObservedLoad load) {
        loads.put(endpoint.state().id(), load);
        return this;
    }

    /** Sets a step that runs when the endpoint of a request is chosen. */
    void duringPlacement(Runnable step) {
        duringPlacement.set(step);
    }

    /** Returns what endpoints say about themselves. */
    EndpointSignalTable signals() {
        return signals;
    }

    /** Sets the last rollout of the service. */
    void setRollout(RolloutSpec rollout) {
        rollouts.set(Map.of("scribe", rollout));
    }

    /** Empties the endpoint table, as in an instance that has just started. */
    RelayTestBed withoutEndpoints() {
        known.set(new EndpointTable(Map.of()));
        return this;
    }

    /** Runs a step on another thread after a delay. */
    void schedule(long delayMs, Callable<?> step) {
        scheduler.schedule(step, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Restores the endpoint table. */
    RelayTestBed withEndpoints() {
        known.set(table);
        return this;
    }

    static TrafficRoute route(String prefix, RequestKind kind, int priority, int maxAttempts) {
        return new TrafficRoute(
                prefix,
                "h",
                prefix,
                kind,
                5_000,
                1_000,
                700,
                priority,
                maxAttempts,
                false,
                List.of(new TrafficRoute.Target("scribe", 1)));
    }

    Socket connect() throws IOException {
        String address = listener.address();
        Socket socket =
                new Socket(
                        "127.0.0.1",
                        Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    static String request(String method, String path, String fields, String body) {
        return request("r1", method, path, fields, body);
    }

    static String request(String id, String method, String path, String fields, String body) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: h\r\nSapphire-Key: k1\r\nSapphire-Request-Id: "
                + id
                + "\r\n"
                + fields
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
                + "\r\n"
                + body;
    }

    /** Sends bytes on a new connection and returns all bytes received until the relay closes it. */
    String call(String bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Sends one request and returns the whole response, with its head. */
    String call(String method, String path, String body) throws IOException {
        return call(request(method, path, "Connection: close\r\n", body));
    }

    ByteBudget memory() {
        return memory;
    }

    /** Returns the memory that requests and responses hold now, in bytes. */
    long reservedBytes() {
        return memory.reservedBytes();
    }

    /** Returns the limit of {@link #reservedBytes()}. */
    static long memoryBytes() {
        return MEMORY_BYTES;
    }

    /** Begins to drain the connections of callers, as in a planned stop. */
    void drain() {
        listener.drain();
    }

    /** Sets the end of a planned stop after a delay. */
    void endRequestsIn(long delayMs) {
        relay.endRequestsBy(clock.nowMs() + delayMs);
    }

    /** Returns the number of open connections of callers. */
    int openConnections() {
        return listener.openConnections();
    }

    TrafficRelay relay() {
        return relay;
    }

    @Override
    public void close() {
        listener.close();
        relay.close();
        scheduler.shutdownNow();
    }
}

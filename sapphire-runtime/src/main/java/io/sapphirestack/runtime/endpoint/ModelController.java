package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.ReportTable;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.WeightStoreSpec;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.control.ControlClient;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Orders engines to load and unload models while this instance is the control leader. {@link
 * #tick()} does all periodic work without blocking. Thread-safe.
 *
 * <p>Each order is committed to the control log before it is sent, and its log index is its fencing
 * token. A new leader waits {@link #TAKEOVER_DELAY_MS} before it orders a load, and before it sends
 * any order to an engine that does not check fencing tokens, because an order of its predecessor
 * may arrive until then. It then reads the state of all engines, so that loads in progress count
 * against the limits of the weight store.
 */
public final class ModelController implements AutoCloseable {
    /** Time between two ticks, in milliseconds. */
    public static final long TICK_MS = 500;

    /** Maximum lease of a former leader plus the timeout of its last order, in milliseconds. */
    public static final long TAKEOVER_DELAY_MS = 1_000 + HttpEngineOrderClient.ORDER_TIMEOUT_MS;

    private static final long CONTROL_TIMEOUT_MS = 2_000;

    /** Time after which an order without visible effect is given up, in milliseconds. */
    private static final long EFFECT_TIMEOUT_MS = 5_000;

    /** Timeout for a load while the engine reports that it is loading, in milliseconds. */
    private static final long LOAD_TIMEOUT_MS = 900_000;

    /** Back-off before the next order to an engine that refused one, in milliseconds. */
    private static final long REFUSED_BACKOFF_MS = 5_000;

    private static final Logger LOG = Logger.getLogger(ModelController.class);

    private final ControlClient control;
    private final Supplier<EngineOrderLease> lease;
    private final Supplier<EndpointTable> endpoints;
    private final Function<String, Optional<ServiceSpec>> services;
    private final Supplier<? extends Collection<ModelSpec>> models;
    private final Supplier<Optional<WeightStoreSpec>> weightStore;
    private final Predicate<EndpointId> stopping;
    private final EngineOrderClient engines;
    private final MillisClock clock;

    private final Object lock = new Object();
    private final Map<EndpointId, TrackedEngine> trackedEngines = new HashMap<>();
    private final WeightLoadPacer pacer = new WeightLoadPacer();
    private final ModelPlanner planner = new ModelPlanner();
    private long term = EngineOrderLease.NONE.term();
    private long termStartMs;
    private final PeriodicTask periodic =
            new PeriodicTask(
                    this::tick, TICK_MS, e -> LOG.error("SAP3020 Model controller tick failed", e));

    /**
     * Creates a controller.
     *
     * @param control client that commits orders to the control log
     * @param lease returns the current lease of this instance
     * @param endpoints returns the published endpoint table
     * @param services returns the spec of a service, or empty if it is unknown
     * @param models returns the models of the model records
     * @param weightStore returns the limits of the weight store; empty for no limit
     * @param stopping returns whether a stop of the endpoint is planned
     * @param engines client that sends orders to engines and reads their state
     * @param clock monotonic clock
     */
    public ModelController(
            ControlClient control,
            Supplier<EngineOrderLease> lease,
            Supplier<EndpointTable> endpoints,
            Function<String, Optional<ServiceSpec>> services,
            Supplier<? extends Collection<ModelSpec>> models,
            Supplier<Optional<WeightStoreSpec>> weightStore,
            Predicate<EndpointId> stopping,
            EngineOrderClient engines,
            MillisClock clock) {
        this.control = Objects.requireNonNull(control, "control");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints");
        this.services = Objects.requireNonNull(services, "services");
        this.models = Objects.requireNonNull(models, "models");
        this.weightStore = Objects.requireNonNull(weightStore, "weightStore");
        this.stopping = Objects.requireNonNull(stopping, "stopping");
        this.engines = Objects.requireNonNull(engines, "engines");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** State of an engine that the leader tracks in addition to the endpoint table. */
    private static final class TrackedEngine {
        private final long leaderTerm;
        private volatile String address;
        private boolean stateReadInTerm;
        private boolean stateReadInFlight;
        private EngineState state;
        private long stateAtMs;
        private EndpointOrder order;
        private long fencingToken;
        private long orderAtMs;
        private long expectedLoadMs;
        private boolean sent;
        private long nextOrderAtMs;

        TrackedEngine(long leaderTerm, String address) {
            this.leaderTerm = leaderTerm;
            this.address = address;
        }
    }

    /**
     * Starts the periodic work.
     *
     * @param scheduler runs {@link #tick()}
     */
    public void start(ScheduledExecutorService scheduler) {
        periodic.start(scheduler);
    }

    @Override
    public void close() {
        periodic.close();
    }

    /**
     * Compares desired and actual state once and starts the orders that are due. Does nothing
     * unless this instance holds the lease.
     */
    public void tick() {
        List<Runnable> actions = new ArrayList<>();
        synchronized (lock) {
            EngineOrderLease current = lease.get();
            long nowMs = clock.nowMs();
            if (!current.isValidAt(nowMs)) {
                return;
            }
            if (current.term() != term) {
                beginTerm(current.term(), nowMs);
            }
            EndpointTable table = endpoints.get();
            updateTrackedEngines(table, nowMs, actions);
            startPlannedOrders(table, nowMs, actions);
        }
        actions.forEach(Runnable::run);
    }

    private void beginTerm(long newTerm, long nowMs) {
        LOG.infof("SAP3021 Leader of term %d starts to order engines", newTerm);
        term = newTerm;
        termStartMs = nowMs;
        trackedEngines.clear();
        pacer.reset();
        planner.reset();
    }

    /**
     * Updates the tracked engines from the endpoint table, completes orders, and reads the state of
     * engines where it is needed.
     */
    private void updateTrackedEngines(EndpointTable table, long nowMs, List<Runnable> actions) {
        for (EndpointState endpoint : table.byId().values()) {
            boolean managed =
                    models.get().stream().anyMatch(m -> m.service().equals(endpoint.service()));
            if (managed || trackedEngines.containsKey(endpoint.id())) {
                TrackedEngine engine =
                        trackedEngines.computeIfAbsent(
                                endpoint.id(), id -> new TrackedEngine(term, endpoint.address()));
                engine.address = endpoint.address();
            }
        }
        List<EndpointId> removed = new ArrayList<>();
        trackedEngines.forEach(
                (id, engine) -> {
                    Optional<EndpointState> known = table.find(id);
                    if (known.isEmpty() && engine.order == null) {
                        removed.add(id);
                    } else if (engine.sent && isResultAnnounced(known, engine)) {
                        completeOrder(id, engine, "done", actions);
                    } else if (engine.sent
                            && nowMs - engine.orderAtMs > effectTimeoutMs(known, engine)) {
                        completeOrder(id, engine, "timeout", actions);
                    } else if (!engine.stateReadInFlight && needsStateRead(engine, nowMs)) {
                        engine.stateReadInFlight = true;
                        actions.add(() -> readState(id, engine));
                    }
                });
        removed.forEach(
                id -> {
                    trackedEngines.remove(id);
                    pacer.end(id);
                });
    }

    /** Returns whether an announcement made after the order shows its result. */
    private static boolean isResultAnnounced(Optional<EndpointState> known, TrackedEngine engine) {
        return engine.order != null
                && known.isPresent()
                && known.get().announcedAtMs() > engine.orderAtMs
                && known.get().models().contains(engine.order.pin())
                        == (engine.order.action() == EndpointOrder.Action.LOAD);
    }

    /**
     * Returns how long to wait for the effect of an order, in milliseconds. An engine that is no
     * longer in the table may be unreachable and still be fetching weights, so its load counts for
     * twice its expected duration.
     */
    private static long effectTimeoutMs(Optional<EndpointState> known, TrackedEngine engine) {
        return known.isPresent() ? LOAD_TIMEOUT_MS : 2 * engine.expectedLoadMs + EFFECT_TIMEOUT_MS;
    }

    private boolean needsStateRead(TrackedEngine engine, long nowMs) {
        if (engine.order != null) {
            return engine.sent;
        }
        // States are read only once no order of the former leader can arrive any more.
        return !engine.stateReadInTerm && nowMs - termStartMs >= TAKEOVER_DELAY_MS;
    }

    private void readState(EndpointId id, TrackedEngine engine) {
        long requestedAtMs = clock.nowMs();
        engines.state(engine.address)
                .whenComplete(
                        (state, failure) -> {
                            List<Runnable> actions = new ArrayList<>();
                            synchronized (lock) {
                                engine.stateReadInFlight = false;
                                if (engine.leaderTerm == term && failure == null) {
                                    engine.state = state;
                                    engine.stateAtMs = requestedAtMs;
                                    applyState(id, engine, actions);
                                }
                            }
                            actions.forEach(Runnable::run);
                        });
    }

    private void applyState(EndpointId id, TrackedEngine engine, List<Runnable> actions) {
        long nowMs = clock.nowMs();
        if (!engine.stateReadInTerm && engine.stateAtMs - termStartMs >= TAKEOVER_DELAY_MS) {
            engine.stateReadInTerm = true;
            if (engine.order == null && !engine.state.loading().isEmpty()) {
                adoptLoad(id, engine, engine.state.loading().get(0), nowMs);
            }
        }
        if (engine.order == null || engine.stateAtMs < engine.orderAtMs) {
            return;
        }
        ModelPin pin = engine.order.pin();
        boolean loaded = engine.state.models().contains(pin);
        boolean loading = engine.state.loading().contains(pin);
        boolean effective =
                engine.order.action() == EndpointOrder.Action.LOAD ? loaded : !loaded && !loading;
        if (effective) {
            completeOrder(id, engine, "done", actions);
        } else if (!loading && nowMs - engine.orderAtMs > EFFECT_TIMEOUT_MS) {
            completeOrder(id, engine, "no effect", actions);
        }
    }

    /** Takes over a load that a former leader started. */
    private void adoptLoad(EndpointId id, TrackedEngine engine, ModelPin pin, long nowMs) {
        long weightBytes =
                models.get().stream()
                        .filter(m -> m.pin().equals(pin))
                        .mapToLong(ModelSpec::weightBytes)
                        .max()
                        .orElse(0);
        engine.order = new EndpointOrder(EndpointOrder.Action.LOAD, pin, "", weightBytes);
        engine.fencingToken = engine.state.highestFencingToken();
        engine.orderAtMs = engine.stateAtMs;
        engine.expectedLoadMs = expectedLoadMs(weightBytes);
        engine.sent = true;
        weightStore.get().ifPresent(store -> pacer.adopt(id, store, weightBytes, nowMs));
    }

    private long expectedLoadMs(long weightBytes) {
        return weightStore.get().map(s -> weightBytes * 1_000 / s.bytesPerS()).orElse(0L);
    }

    private void startPlannedOrders(EndpointTable table, long nowMs, List<Runnable> actions) {
        List<ModelPlanner.Engine> plannerEngines = new ArrayList<>();
        trackedEngines.forEach(
                (id, engine) ->
                        table.find(id)
                                .ifPresent(
                                        e ->
                                                plannerEngines.add(
                                                        toPlannerEngine(e, engine, nowMs))));
        // An engine whose state has not been read may be loading. One that never responds stops
        // counting after the load timeout; otherwise it would block the weight store permanently.
        long unreadEngines =
                nowMs - termStartMs > LOAD_TIMEOUT_MS
                        ? 0
                        : trackedEngines.values().stream()
                                .filter(engine -> !engine.stateReadInTerm && engine.order == null)
                                .count();
        for (ModelPlanner.PlannedOrder planned :
                planner.plan(models.get(), plannerEngines, nowMs)) {
            EndpointId id = planned.endpoint().id();
            EndpointOrder order = planned.order();
            if (mayStart(planned, (int) unreadEngines, nowMs)) {
                TrackedEngine engine = trackedEngines.get(id);
                engine.order = order;
                engine.fencingToken = 0;
                engine.orderAtMs = nowMs;
                engine.expectedLoadMs = expectedLoadMs(order.weightBytes());
                engine.sent = false;
                actions.add(() -> issueOrder(id, engine, order));
            }
        }
    }

    private boolean mayStart(ModelPlanner.PlannedOrder planned, int unreadEngines, long nowMs) {
        boolean load = planned.order().action() == EndpointOrder.Action.LOAD;
        boolean fenced =
                services.apply(planned.endpoint().service())
                        .map(ServiceSpec::fencingChecked)
                        .orElse(false);
        if (nowMs - termStartMs < TAKEOVER_DELAY_MS && (load || !fenced)) {
            return false;
        }
        Optional<WeightStoreSpec> store = weightStore.get();
        return !load
                || store.isEmpty()
                || pacer.tryStart(
                        planned.endpoint().id(),
                        store.get(),
                        planned.order().weightBytes(),
                        unreadEngines,
                        nowMs);
    }

    private ModelPlanner.Engine toPlannerEngine(
            EndpointState endpoint, TrackedEngine engine, long nowMs) {
        // A state read after the last announcement is newer than the table.
        boolean stateIsNewer = engine.state != null && engine.stateAtMs >= endpoint.announcedAtMs();
        Set<ModelPin> loaded = stateIsNewer ? Set.copyOf(engine.state.models()) : endpoint.models();
        Optional<ModelPin> inProgress =
                Optional.ofNullable(engine.order)
                        .filter(o -> o.action() == EndpointOrder.Action.LOAD)
                        .map(EndpointOrder::pin);
        boolean usable =
                nowMs - endpoint.announcedAtMs() < ReportTable.SUSPECT_AFTER_MS
                        && !stopping.test(endpoint.id());
        return new ModelPlanner.Engine(
                endpoint,
                loaded,
                inProgress,
                engine.order == null && nowMs >= engine.nextOrderAtMs,
                usable);
    }

    private void issueOrder(EndpointId id, TrackedEngine engine, EndpointOrder order) {
        control.submit(new ControlCommand.IssueEndpointOrder(id, order), CONTROL_TIMEOUT_MS)
                .whenComplete(
                        (result, failure) -> handleIssueResult(id, engine, order, result, failure));
    }

    private void handleIssueResult(
            EndpointId id,
            TrackedEngine engine,
            EndpointOrder order,
            ControlResult result,
            Throwable failure) {
        if (failure == null && result instanceof ControlResult.EndpointOrderIssued issued) {
            synchronized (lock) {
                engine.fencingToken = issued.fencingToken();
            }
            sendOrder(id, engine, order);
            return;
        }
        if (failure == null
                && result instanceof ControlResult.EndpointOrderOutstanding outstanding) {
            // The outstanding order can no longer arrive, or the engine will refuse its token.
            commitOutcome(id, outstanding.fencingToken(), "superseded");
        }
        clearOrder(id, engine);
    }

    private boolean holdsLease(TrackedEngine engine) {
        EngineOrderLease current = lease.get();
        return current.term() == engine.leaderTerm && current.isValidAt(clock.nowMs());
    }

    private void sendOrder(EndpointId id, TrackedEngine engine, EndpointOrder order) {
        engines.send(engine.address, engine.fencingToken, order, () -> holdsLease(engine))
                .whenComplete(
                        (outcome, failure) -> {
                            List<Runnable> actions = new ArrayList<>();
                            synchronized (lock) {
                                if (failure != null
                                        || outcome == EngineOrderClient.SendOutcome.ACCEPTED) {
                                    // After a failure, the engine's state shows whether the order
                                    // arrived.
                                    engine.sent = true;
                                } else {
                                    engine.nextOrderAtMs =
                                            outcome == EngineOrderClient.SendOutcome.REFUSED
                                                    ? clock.nowMs() + REFUSED_BACKOFF_MS
                                                    : 0;
                                    completeOrder(id, engine, outcome.name(), actions);
                                }
                            }
                            actions.forEach(Runnable::run);
                        });
    }

    /** Clears the order of an engine, so that another one can be given. */
    private void clearOrder(EndpointId id, TrackedEngine engine) {
        synchronized (lock) {
            engine.order = null;
            engine.sent = false;
            if (engine.leaderTerm == term) {
                pacer.end(id);
            }
        }
    }

    private void completeOrder(
            EndpointId id, TrackedEngine engine, String outcome, List<Runnable> actions) {
        LOG.infof("SAP3022 Order %s to engine %s completed: %s", engine.order, id, outcome);
        long token = engine.fencingToken;
        clearOrder(id, engine);
        if (token > 0) {
            actions.add(() -> commitOutcome(id, token, outcome));
        }
    }

    private void commitOutcome(EndpointId id, long token, String outcome) {
        // If this fails, the next order to the engine finds this one outstanding and supersedes it.
        control.submit(
                new ControlCommand.CompleteEndpointOrder(id, token, outcome), CONTROL_TIMEOUT_MS);
    }

    /** Returns the number of loads that count against the concurrency limit of the weight store. */
    int activeLoads() {
        synchronized (lock) {
            return pacer.activeLoads();
        }
    }
}

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
 * Gives orders to engines while this instance is control leader. Thread-safe; {@link #tick()} does
 * all work without blocking.
 *
 * <p>Each order is committed before it is sent, and its log index is its fencing token. A new
 * leader waits {@link #TAKEOVER_MS} before it loads anything, and before any order to an engine
 * that ignores the token; until then an order of its predecessor may still arrive. Then it reads
 * the state of all engines, so that loads in progress count against the weight store.
 */
public final class ModelController implements AutoCloseable {
    /** Time between two steps, in milliseconds. */
    public static final long TICK_MS = 500;

    /** Longest lease of a former leader plus the timeout of its last order, in milliseconds. */
    public static final long TAKEOVER_MS = 1_000 + HttpEngineOrderClient.ORDER_TIMEOUT_MS;

    private static final long CONTROL_TIMEOUT_MS = 2_000;

    /** Time after which an order that shows no effect is given up, in milliseconds. */
    private static final long EFFECT_TIMEOUT_MS = 5_000;

    /** Longest load that is waited for while the engine says that it is loading. */
    private static final long LOAD_TIMEOUT_MS = 900_000;

    /** Delay before an engine that refused an order gets another one, in milliseconds. */
    private static final long REFUSED_BACKOFF_MS = 5_000;

    private static final Logger LOG = Logger.getLogger(ModelController.class);

    private final ControlClient control;
    private final Supplier<LeaderLease> lease;
    private final Supplier<EndpointTable> endpoints;
    private final Function<String, Optional<ServiceSpec>> services;
    private final Supplier<? extends Collection<ModelSpec>> models;
    private final Supplier<Optional<WeightStoreSpec>> weightStore;
    private final Predicate<EndpointId> stopping;
    private final EngineOrderClient engines;
    private final MillisClock clock;

    private final Object lock = new Object();
    private final Map<EndpointId, Slot> slots = new HashMap<>();
    private final WeightLoadPacer pacer = new WeightLoadPacer();
    private final ModelPlanner planner = new ModelPlanner();
    private long term = LeaderLease.NONE.term();
    private long termStartMs;
    private final PeriodicTask periodic =
            new PeriodicTask(this::tick, TICK_MS, e -> LOG.error("SAP3020 Model step failed", e));

    /**
     * Creates a controller.
     *
     * @param control commits orders
     * @param lease returns the leader lease of this instance
     * @param endpoints returns the published endpoint table
     * @param services returns the spec of a service
     * @param models returns the content of the model records
     * @param weightStore returns the limits of the weight store; empty for no limit
     * @param stopping tells whether an endpoint has a planned stop
     * @param engines sends orders
     * @param clock monotonic clock
     */
    public ModelController(
            ControlClient control,
            Supplier<LeaderLease> lease,
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

    /** What this leader knows about one engine beyond the endpoint table. */
    private static final class Slot {
        private final long slotTerm;
        private volatile String address;
        private boolean surveyed;
        private boolean reading;
        private EngineState state;
        private long stateAtMs;
        private EndpointOrder order;
        private long token;
        private long orderAtMs;
        private long expectedMs;
        private boolean sent;
        private long notBeforeMs;

        Slot(long slotTerm, String address) {
            this.slotTerm = slotTerm;
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

    /** Compares wanted and actual state once, and starts what is due. */
    public void tick() {
        List<Runnable> actions = new ArrayList<>();
        synchronized (lock) {
            LeaderLease current = lease.get();
            long nowMs = clock.nowMs();
            if (!current.isValidAt(nowMs)) {
                return;
            }
            if (current.term() != term) {
                beginTerm(current.term(), nowMs);
            }
            EndpointTable table = endpoints.get();
            updateSlots(table, nowMs, actions);
            startPlanned(table, nowMs, actions);
        }
        actions.forEach(Runnable::run);
    }

    private void beginTerm(long newTerm, long nowMs) {
        LOG.infof("SAP3021 Gives orders to engines as leader of term %d", newTerm);
        term = newTerm;
        termStartMs = nowMs;
        slots.clear();
        pacer.reset();
        planner.reset();
    }

    /** Follows the table, and reads the state of engines that need it. */
    private void updateSlots(EndpointTable table, long nowMs, List<Runnable> actions) {
        for (EndpointState endpoint : table.byId().values()) {
            boolean managed =
                    models.get().stream().anyMatch(m -> m.service().equals(endpoint.service()));
            if (managed || slots.containsKey(endpoint.id())) {
                Slot slot =
                        slots.computeIfAbsent(
                                endpoint.id(), id -> new Slot(term, endpoint.address()));
                slot.address = endpoint.address();
            }
        }
        List<EndpointId> gone = new ArrayList<>();
        slots.forEach(
                (id, slot) -> {
                    Optional<EndpointState> known = table.find(id);
                    if (known.isEmpty() && slot.order == null) {
                        gone.add(id);
                    } else if (slot.sent && isAnnounced(known, slot)) {
                        complete(id, slot, "done", actions);
                    } else if (slot.sent && nowMs - slot.orderAtMs > timeoutMs(known, slot)) {
                        complete(id, slot, "timeout", actions);
                    } else if (!slot.reading && needsRead(slot, nowMs)) {
                        slot.reading = true;
                        actions.add(() -> read(id, slot));
                    }
                });
        gone.forEach(
                id -> {
                    slots.remove(id);
                    pacer.end(id);
                });
    }

    /** Tells whether an announcement after the order shows its result. */
    private static boolean isAnnounced(Optional<EndpointState> known, Slot slot) {
        return slot.order != null
                && known.isPresent()
                && known.get().heardAtMs() > slot.orderAtMs
                && known.get().models().contains(slot.order.pin())
                        == (slot.order.action() == EndpointOrder.Action.LOAD);
    }

    /**
     * A silent engine may be cut off and still be fetching, so its load counts for twice the time
     * that it should take.
     */
    private static long timeoutMs(Optional<EndpointState> known, Slot slot) {
        return known.isPresent() ? LOAD_TIMEOUT_MS : 2 * slot.expectedMs + EFFECT_TIMEOUT_MS;
    }

    private boolean needsRead(Slot slot, long nowMs) {
        if (slot.order != null) {
            return slot.sent;
        }
        // The survey starts when no order of the former leader can arrive any more.
        return !slot.surveyed && nowMs - termStartMs >= TAKEOVER_MS;
    }

    private void read(EndpointId id, Slot slot) {
        long askedAtMs = clock.nowMs();
        engines.state(slot.address)
                .whenComplete(
                        (state, failure) -> {
                            List<Runnable> actions = new ArrayList<>();
                            synchronized (lock) {
                                slot.reading = false;
                                if (slot.slotTerm == term && failure == null) {
                                    slot.state = state;
                                    slot.stateAtMs = askedAtMs;
                                    applyState(id, slot, actions);
                                }
                            }
                            actions.forEach(Runnable::run);
                        });
    }

    private void applyState(EndpointId id, Slot slot, List<Runnable> actions) {
        long nowMs = clock.nowMs();
        if (!slot.surveyed && slot.stateAtMs - termStartMs >= TAKEOVER_MS) {
            slot.surveyed = true;
            if (slot.order == null && !slot.state.loading().isEmpty()) {
                adoptLoad(id, slot, slot.state.loading().get(0), nowMs);
            }
        }
        if (slot.order == null || slot.stateAtMs < slot.orderAtMs) {
            return;
        }
        ModelPin pin = slot.order.pin();
        boolean loaded = slot.state.models().contains(pin);
        boolean loading = slot.state.loading().contains(pin);
        boolean effect =
                slot.order.action() == EndpointOrder.Action.LOAD ? loaded : !loaded && !loading;
        if (effect) {
            complete(id, slot, "done", actions);
        } else if (!loading && nowMs - slot.orderAtMs > EFFECT_TIMEOUT_MS) {
            complete(id, slot, "no effect", actions);
        }
    }

    /** Counts a load that a former leader started. */
    private void adoptLoad(EndpointId id, Slot slot, ModelPin pin, long nowMs) {
        long weightBytes =
                models.get().stream()
                        .filter(m -> m.pin().equals(pin))
                        .mapToLong(ModelSpec::weightBytes)
                        .max()
                        .orElse(0);
        slot.order = new EndpointOrder(EndpointOrder.Action.LOAD, pin, "", weightBytes);
        slot.token = slot.state.highestFencingToken();
        slot.orderAtMs = slot.stateAtMs;
        slot.expectedMs = expectedMs(weightBytes);
        slot.sent = true;
        weightStore.get().ifPresent(store -> pacer.adopt(id, store, weightBytes, nowMs));
    }

    private long expectedMs(long weightBytes) {
        return weightStore.get().map(s -> weightBytes * 1_000 / s.bytesPerS()).orElse(0L);
    }

    private void startPlanned(EndpointTable table, long nowMs, List<Runnable> actions) {
        List<ModelPlanner.Engine> known = new ArrayList<>();
        slots.forEach(
                (id, slot) -> table.find(id).ifPresent(e -> known.add(describe(e, slot, nowMs))));
        // An engine that was not read yet may be loading. One that never answers stops counting
        // after the longest load, otherwise it would block the weight store for good.
        long unread =
                nowMs - termStartMs > LOAD_TIMEOUT_MS
                        ? 0
                        : slots.values().stream()
                                .filter(slot -> !slot.surveyed && slot.order == null)
                                .count();
        for (ModelPlanner.Planned planned : planner.plan(models.get(), known, nowMs)) {
            EndpointId id = planned.endpoint().id();
            EndpointOrder order = planned.order();
            if (mayStart(planned, (int) unread, nowMs)) {
                Slot slot = slots.get(id);
                slot.order = order;
                slot.token = 0;
                slot.orderAtMs = nowMs;
                slot.expectedMs = expectedMs(order.weightBytes());
                slot.sent = false;
                actions.add(() -> issue(id, slot, order));
            }
        }
    }

    private boolean mayStart(ModelPlanner.Planned planned, int unread, long nowMs) {
        boolean load = planned.order().action() == EndpointOrder.Action.LOAD;
        boolean fenced =
                services.apply(planned.endpoint().service())
                        .map(ServiceSpec::fencingChecked)
                        .orElse(false);
        if (nowMs - termStartMs < TAKEOVER_MS && (load || !fenced)) {
            return false;
        }
        Optional<WeightStoreSpec> store = weightStore.get();
        return !load
                || store.isEmpty()
                || pacer.tryStart(
                        planned.endpoint().id(),
                        store.get(),
                        planned.order().weightBytes(),
                        unread,
                        nowMs);
    }

    private ModelPlanner.Engine describe(EndpointState endpoint, Slot slot, long nowMs) {
        // A state that was read after the last announcement is newer than the table.
        boolean stateIsNewer = slot.state != null && slot.stateAtMs >= endpoint.heardAtMs();
        Set<ModelPin> loaded = stateIsNewer ? Set.copyOf(slot.state.models()) : endpoint.models();
        Optional<ModelPin> inProgress =
                Optional.ofNullable(slot.order)
                        .filter(o -> o.action() == EndpointOrder.Action.LOAD)
                        .map(EndpointOrder::pin);
        boolean usable =
                nowMs - endpoint.heardAtMs() < ReportTable.SUSPECT_AFTER_MS
                        && !stopping.test(endpoint.id());
        return new ModelPlanner.Engine(
                endpoint,
                loaded,
                inProgress,
                slot.order == null && nowMs >= slot.notBeforeMs,
                usable);
    }

    private void issue(EndpointId id, Slot slot, EndpointOrder order) {
        control.submit(new ControlCommand.IssueEndpointOrder(id, order), CONTROL_TIMEOUT_MS)
                .whenComplete((result, failure) -> issued(id, slot, order, result, failure));
    }

    private void issued(
            EndpointId id,
            Slot slot,
            EndpointOrder order,
            ControlResult result,
            Throwable failure) {
        if (failure == null && result instanceof ControlResult.EndpointOrderIssued issued) {
            synchronized (lock) {
                slot.token = issued.fencingToken();
            }
            send(id, slot, order);
            return;
        }
        if (failure == null
                && result instanceof ControlResult.EndpointOrderOutstanding outstanding) {
            // The former leader's order can no longer arrive, or the engine will refuse it.
            report(id, outstanding.fencingToken(), "superseded");
        }
        abandon(id, slot);
    }

    private boolean mayOrder(Slot slot) {
        LeaderLease current = lease.get();
        return current.term() == slot.slotTerm && current.isValidAt(clock.nowMs());
    }

    private void send(EndpointId id, Slot slot, EndpointOrder order) {
        engines.send(slot.address, slot.token, order, () -> mayOrder(slot))
                .whenComplete(
                        (reply, failure) -> {
                            List<Runnable> actions = new ArrayList<>();
                            synchronized (lock) {
                                if (failure != null
                                        || reply == EngineOrderClient.OrderReply.ACCEPTED) {
                                    // After a failure the state tells whether the order arrived.
                                    slot.sent = true;
                                } else {
                                    slot.notBeforeMs =
                                            reply == EngineOrderClient.OrderReply.REFUSED
                                                    ? clock.nowMs() + REFUSED_BACKOFF_MS
                                                    : 0;
                                    complete(id, slot, reply.name(), actions);
                                }
                            }
                            actions.forEach(Runnable::run);
                        });
    }

    /** Drops an order that was not sent. */
    private void abandon(EndpointId id, Slot slot) {
        synchronized (lock) {
            slot.order = null;
            slot.sent = false;
            if (slot.slotTerm == term) {
                pacer.end(id);
            }
        }
    }

    private void complete(EndpointId id, Slot slot, String outcome, List<Runnable> actions) {
        LOG.infof("SAP3022 Order %s to engine %s ended: %s", slot.order, id, outcome);
        long token = slot.token;
        abandon(id, slot);
        if (token > 0) {
            actions.add(() -> report(id, token, outcome));
        }
    }

    private void report(EndpointId id, long token, String outcome) {
        // A lost report is harmless: the next order finds this one outstanding and supersedes it.
        control.submit(
                new ControlCommand.CompleteEndpointOrder(id, token, outcome), CONTROL_TIMEOUT_MS);
    }

    /** Returns the number of loads that count against the weight store. */
    int activeLoads() {
        synchronized (lock) {
            return pacer.active();
        }
    }
}

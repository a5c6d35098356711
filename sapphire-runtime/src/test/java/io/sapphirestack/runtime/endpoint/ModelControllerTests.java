package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.EndpointOrder;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.record.ModelPin;
import io.sapphirestack.core.record.ModelSpec;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.record.WeightStoreSpec;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.ControlException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a former leader whose order arrives after its successor has begun to order
 * engines, and against more concurrent loads or a higher rate than the weight store allows. The
 * test simulates time, engines, the control log and leaders that pause or change.
 */
class ModelControllerTests {
    private static final ModelPin PIN = new ModelPin("m", "", "1");
    private static final long WEIGHT_BYTES = 10_000;
    private static final WeightStoreSpec STORE = new WeightStoreSpec(10_000, 3);

    /** Factor by which loads are slower than the store's rate, so that they overlap. */
    private int loadSlowdown = 5;

    private long nowMs = 1_000_000;
    private Random random = new Random(1);
    private boolean fencing = true;
    private int replicas = 25;
    private final Map<EndpointId, Engine> engines = new HashMap<>();
    private final Set<EndpointId> stopping = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(java.util.Comparator.comparingLong(Event::atMs));

    private final Map<EndpointId, Long> outstanding = new HashMap<>();
    private long logIndex;

    /** Percentage of simulated requests, and of replies, that are dropped. */
    private int failurePercent;

    private final List<Long> loadStartsMs = new ArrayList<>();
    private int concurrentLoads;
    private int peakConcurrentLoads;

    private record Event(long atMs, Runnable action) {}

    private void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, action));
    }

    /** Simulated engine, which loads more slowly than the store's rate. */
    private final class Engine {
        private final EndpointId id;
        private final Set<ModelPin> loaded = new HashSet<>();
        private final Set<ModelPin> loading = new HashSet<>();
        private long highestToken;

        Engine(EndpointId id) {
            this.id = id;
        }

        EngineOrderClient.SendOutcome receive(long token, EndpointOrder order) {
            if (fencing && token < highestToken) {
                return EngineOrderClient.SendOutcome.FENCED;
            }
            highestToken = Math.max(highestToken, token);
            if (order.action() == EndpointOrder.Action.UNLOAD) {
                loaded.remove(order.pin());
            } else if (!loaded.contains(order.pin()) && loading.add(order.pin())) {
                loadStartsMs.add(nowMs);
                concurrentLoads++;
                peakConcurrentLoads = Math.max(peakConcurrentLoads, concurrentLoads);
                schedule(
                        loadSlowdown * order.weightBytes() * 1_000 / STORE.bytesPerS(),
                        () -> {
                            concurrentLoads--;
                            loading.remove(order.pin());
                            loaded.add(order.pin());
                        });
            }
            return EngineOrderClient.SendOutcome.ACCEPTED;
        }

        EndpointState state() {
            return new EndpointState(
                    id,
                    "scribe",
                    id.value(),
                    "az1",
                    1,
                    loaded,
                    new EndpointLoad(0, 0, 8, 0),
                    nowMs);
        }
    }

    /**
     * Simulated control log, which allows one outstanding order per engine as the control state
     * machine does.
     */
    private final ControlClient control =
            new ControlClient() {
                @Override
                public CompletableFuture<ControlResult> submit(
                        ControlCommand command, long timeoutMs) {
                    CompletableFuture<ControlResult> result = new CompletableFuture<>();
                    boolean requestDropped = random.nextInt(100) < failurePercent;
                    boolean replyDropped = random.nextInt(100) < failurePercent;
                    schedule(
                            10 + random.nextInt(30),
                            () -> {
                                ControlResult applied = requestDropped ? null : apply(command);
                                if (requestDropped || replyDropped) {
                                    result.completeExceptionally(
                                            new ControlException("submit", "v", "x", true, null));
                                } else {
                                    result.complete(applied);
                                }
                            });
                    return result;
                }

                @Override
                public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
                    throw new UnsupportedOperationException();
                }
            };

    private ControlResult apply(ControlCommand command) {
        logIndex++;
        if (command instanceof ControlCommand.IssueEndpointOrder issue) {
            Long token = outstanding.putIfAbsent(issue.endpoint(), logIndex);
            return token == null
                    ? new ControlResult.EndpointOrderIssued(logIndex)
                    : new ControlResult.EndpointOrderOutstanding(token);
        }
        ControlCommand.CompleteEndpointOrder done = (ControlCommand.CompleteEndpointOrder) command;
        outstanding.remove(done.endpoint(), done.fencingToken());
        return new ControlResult.Applied(logIndex);
    }

    /** Instance that may be the leader. */
    private final class Leader {
        private EngineOrderLease lease = EngineOrderLease.NONE;
        private boolean paused;
        private final List<Runnable> deferred = new ArrayList<>();
        private final ModelController controller =
                new ModelController(
                        control,
                        () -> lease,
                        ModelControllerTests.this::table,
                        s -> Optional.of(service()),
                        () -> List.of(new ModelSpec("scribe", PIN, replicas, WEIGHT_BYTES)),
                        () -> Optional.of(STORE),
                        stopping::contains,
                        new Client(this),
                        () -> nowMs);

        /** Runs an action now, or when the paused process resumes. */
        void run(Runnable action) {
            if (paused) {
                deferred.add(action);
            } else {
                action.run();
            }
        }

        void resume() {
            paused = false;
            List<Runnable> actions = new ArrayList<>(deferred);
            deferred.clear();
            actions.forEach(Runnable::run);
        }
    }

    private final class Client implements EngineOrderClient {
        private final Leader leader;

        Client(Leader leader) {
            this.leader = leader;
        }

        @Override
        public CompletableFuture<SendOutcome> send(
                String address, long token, EndpointOrder order, BooleanSupplier mayBeSent) {
            CompletableFuture<SendOutcome> result = new CompletableFuture<>();
            boolean replyDropped = random.nextInt(100) < failurePercent;
            long networkDelayMs = random.nextInt((int) HttpEngineOrderClient.ORDER_TIMEOUT_MS / 4);
            schedule(
                    random.nextInt(20),
                    () ->
                            leader.run(
                                    () ->
                                            start(
                                                    mayBeSent,
                                                    networkDelayMs,
                                                    () -> {
                                                        SendOutcome reply =
                                                                engines.get(EndpointId.of(address))
                                                                        .receive(token, order);
                                                        if (replyDropped) {
                                                            result.completeExceptionally(
                                                                    new EndpointException(
                                                                            "receive", address, "x",
                                                                            true, true, null));
                                                        } else {
                                                            result.complete(reply);
                                                        }
                                                    },
                                                    result)));
            return result;
        }

        private void start(
                BooleanSupplier mayBeSent,
                long networkDelayMs,
                Runnable arrival,
                CompletableFuture<SendOutcome> result) {
            if (mayBeSent.getAsBoolean()) {
                schedule(networkDelayMs, arrival);
            } else {
                result.complete(SendOutcome.NOT_SENT);
            }
        }

        @Override
        public CompletableFuture<EngineState> state(String address) {
            CompletableFuture<EngineState> result = new CompletableFuture<>();
            boolean requestDropped = random.nextInt(100) < failurePercent;
            schedule(
                    5,
                    () -> {
                        Engine engine = engines.get(EndpointId.of(address));
                        if (requestDropped) {
                            result.completeExceptionally(
                                    new EndpointException("x", address, "x", true, true, null));
                        } else {
                            result.complete(
                                    new EngineState(
                                            List.copyOf(engine.loaded),
                                            List.copyOf(engine.loading),
                                            "",
                                            engine.highestToken,
                                            0,
                                            0));
                        }
                    });
            return result;
        }
    }

    private ServiceSpec service() {
        return new ServiceSpec(
                ServiceType.ENGINE,
                "x",
                fencing,
                false,
                0,
                1_000,
                5_000,
                ResumeSpec.DEFAULT,
                ObjectivesSpec.DEFAULT);
    }

    private EndpointTable table() {
        Map<EndpointId, EndpointState> states = new HashMap<>();
        engines.values().forEach(e -> states.put(e.id, e.state()));
        return new EndpointTable(states);
    }

    private void addEngines(int count) {
        for (int i = 0; i < count; i++) {
            EndpointId id = EndpointId.of("e" + i);
            engines.put(id, new Engine(id));
        }
    }

    /**
     * Advances the time; each leader that is not paused ticks every {@link
     * ModelController#TICK_MS}.
     */
    private void advance(long durationMs, Leader... leaders) {
        long untilMs = nowMs + durationMs;
        while (nowMs < untilMs) {
            if (nowMs % ModelController.TICK_MS == 0) {
                for (Leader leader : leaders) {
                    leader.run(leader.controller::tick);
                }
            }
            nowMs += 5;
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
        }
    }

    private void grantLease(Leader leader, long term, long durationMs) {
        leader.lease = new EngineOrderLease(term, nowMs + durationMs);
    }

    private void assertStoreLimitsHeld() {
        assertThat(peakConcurrentLoads).isLessThanOrEqualTo(STORE.maxConcurrentLoads());
        // The rate is checked with an allowance, because orders take up to half a second to arrive.
        for (int i = 0; i < loadStartsMs.size(); i++) {
            for (int j = i + 1; j < loadStartsMs.size(); j++) {
                long bytes = (j - i) * WEIGHT_BYTES;
                long allowedMs = loadStartsMs.get(j) - loadStartsMs.get(i) + 600;
                assertThat(bytes * 1_000).isLessThanOrEqualTo(STORE.bytesPerS() * allowedMs);
            }
        }
    }

    private long loadedCount() {
        return engines.values().stream().filter(e -> e.loaded.contains(PIN)).count();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void twentyFiveReplicasAreLoadedWithinTheStoreLimits(boolean checked) {
        fencing = checked;
        addEngines(25);
        Leader leader = new Leader();
        grantLease(leader, 1, 1_000_000);
        advance(80_000, leader);
        assertThat(loadedCount()).isEqualTo(25);
        assertStoreLimitsHeld();
        assertThat(outstanding).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newLeaderWaitsForOrdersOfFormerLeaderAndCountsItsLoads(boolean checked) {
        loadSlowdown = 12;
        fencing = checked;
        addEngines(25);
        Leader first = new Leader();
        Leader second = new Leader();
        grantLease(first, 1, 6_000);
        advance(5_500, first, second);
        long startsBefore = loadStartsMs.size();
        assertThat(startsBefore).isPositive();
        grantLease(second, 2, 1_000_000);
        advance(1_000, first, second);
        first.lease = EngineOrderLease.NONE;
        advance(1_900, first, second);
        assertThat(loadStartsMs.size()).isBetween((int) startsBefore, (int) startsBefore + 2);
        advance(130_000, first, second);
        assertThat(loadedCount()).isEqualTo(25);
        assertThat(peakConcurrentLoads).isLessThanOrEqualTo(STORE.maxConcurrentLoads());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void resumedFormerLeaderSendsNothing(boolean checked) {
        fencing = checked;
        addEngines(5);
        replicas = 5;
        Leader first = new Leader();
        Leader second = new Leader();
        grantLease(first, 1, 60_000);
        while (outstanding.isEmpty()) {
            advance(5, first, second);
        }
        // The order is committed but not yet sent.
        assertThat(loadStartsMs).isEmpty();
        first.paused = true;
        first.lease = new EngineOrderLease(1, nowMs + 500);
        advance(1_000, first, second);
        replicas = 0;
        grantLease(second, 2, 1_000_000);
        advance(6_000, first, second);
        first.resume();
        advance(10_000, first, second);
        assertThat(loadStartsMs).isEmpty();
    }

    @Test
    void stoppingEngineIsNotLoadedAndSurplusIsUnloaded() {
        addEngines(4);
        replicas = 2;
        stopping.add(EndpointId.of("e0"));
        engines.values().forEach(e -> e.loaded.add(PIN));
        Leader leader = new Leader();
        grantLease(leader, 1, 1_000_000);
        advance(20_000, leader);
        assertThat(loadedCount()).as("two replicas and the stopping engine").isEqualTo(3);
        stopping.add(EndpointId.of("e1"));
        stopping.add(EndpointId.of("e2"));
        stopping.add(EndpointId.of("e3"));
        assertThat(loadStartsMs).isEmpty();
    }

    @Test
    void instanceWithoutLeaseSendsNoOrders() {
        addEngines(3);
        Leader leader = new Leader();
        advance(20_000, leader);
        assertThat(logIndex).isZero();
    }

    /**
     * Leaders change, overlap, pause and resume while calls fail. Afterwards the engines must reach
     * the desired state.
     */
    @Property(seed = "3711", tries = 40)
    void stateConvergesAndTheStoreIsNotOverloaded(@ForAll long seed) {
        random = new Random(seed);
        fencing = random.nextBoolean();
        addEngines(8);
        replicas = 8;
        List<Leader> leaders = List.of(new Leader(), new Leader(), new Leader());
        Leader[] all = leaders.toArray(new Leader[0]);
        for (int term = 1; term <= 6; term++) {
            failurePercent = random.nextInt(40);
            Leader next = leaders.get(random.nextInt(3));
            next.resume();
            // The next term starts while the former lease may be valid for up to another second.
            grantLease(next, term, 1_000 + random.nextInt(9_000));
            long leaseMs = next.lease.validUntilMs() - nowMs;
            advance(leaseMs - random.nextInt(1_000), all);
            leaders.get(random.nextInt(3)).paused = true;
        }
        failurePercent = 0;
        leaders.forEach(l -> l.lease = EngineOrderLease.NONE);
        leaders.forEach(Leader::resume);
        grantLease(leaders.get(0), 7, 1_000_000);
        advance(60_000, all);
        assertThat(loadedCount()).isEqualTo(8);
        assertThat(peakConcurrentLoads).isLessThanOrEqualTo(STORE.maxConcurrentLoads());
        // An order stays outstanding if its leader lost the lease before it committed the outcome.
        // It must not block later orders to the same engine.
        replicas = 4;
        advance(20_000, all);
        assertThat(loadedCount()).isEqualTo(4);
        replicas = 8;
        advance(40_000, all);
        assertThat(loadedCount()).isEqualTo(8);
        assertThat(peakConcurrentLoads).isLessThanOrEqualTo(STORE.maxConcurrentLoads());
    }
}

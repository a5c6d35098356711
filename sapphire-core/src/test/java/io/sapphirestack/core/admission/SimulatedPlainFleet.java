package io.sapphirestack.core.admission;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.relay.CompletionEstimator;
import io.sapphirestack.core.relay.EndpointHealth;
import io.sapphirestack.core.relay.ObservedLoad;
import io.sapphirestack.core.relay.RelayPlacement;
import io.sapphirestack.core.relay.RelayWorkKind;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.InFlightTracker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Instances in front of the endpoints of a plain service, in steps of 1 ms. Endpoints queue some
 * requests and shed the rest; each instance knows the load as it was some time ago.
 */
final class SimulatedPlainFleet {

    static final int ENDPOINTS = 3;
    static final int SLOTS = 6;
    static final int ENDPOINT_QUEUE = 24;
    static final double MEAN_WORK_MS = 42.9;
    static final double CAPACITY_PER_MS = ENDPOINTS * SLOTS / MEAN_WORK_MS;
    private static final double LATE_VALUE = 0.3;
    private static final int MAX_ATTEMPTS = 2;
    private static final long BUSY_RETRY_AFTER_MS = 100;
    private static final double SLOW_FACTOR = 2.5;
    private static final int SLOW_MS = 600;
    private static final double SLOW_SHARE = 0.15;
    private static final double LOAD_SWING = 0.55;
    private static final double LOAD_PERIOD_MS = 13_000;
    private static final double FIRST_ROUTE_SHARE = 0.715;
    private static final int MAX_LAG_MS = 1_000;

    /** Sends, queues or refuses the requests of one instance. */
    interface Gate {
        /** Handles a request that has just arrived. */
        void arrive(Request request);

        /** Called every millisecond. */
        void step();
    }

    /** Request of a caller, over all its returns. */
    final class Request {
        final int priority = random.nextDouble() < FIRST_ROUTE_SHARE ? 1 : 2;
        final long arrivedAtMs = nowMs;
        final long targetAtMs = nowMs + (priority == 1 ? 251 : 200);
        final long deadlineAtMs = nowMs + (priority == 1 ? 1_548 : 1_554);
        final double workMs = MEAN_WORK_MS * (0.5 + random.nextDouble());
        Instance instance;

        private long startedAtMs = -1;
        private long endedAtMs = -1;
        private int sender;
    }

    /** Instance with its own requests in flight. */
    final class Instance {
        final int index;
        final InFlightTracker tracker = new InFlightTracker(() -> nowMs);
        final RelayPlacement placement;
        final int[][] history = new int[ENDPOINTS][MAX_LAG_MS + 1];
        final int[] inFlight = new int[ENDPOINTS];
        final ServiceCapacity capacity;
        Gate gate;

        Instance(int index, int instances) {
            this.index = index;
            placement =
                    new RelayPlacement(
                            "z" + index % ENDPOINTS,
                            this::knownInFlight,
                            new EndpointHealth(() -> nowMs),
                            random::nextDouble,
                            () -> instances,
                            CompletionEstimator.byWorkInFlight());
            capacity = new ServiceCapacity(e -> report(e), tracker, MAX_LAG_MS, () -> nowMs);
        }

        private double knownInFlight(EndpointState endpoint) {
            int e = endpoints.indexOf(endpoint);
            int then = (int) Math.floorMod(nowMs - lagMs, MAX_LAG_MS + 1L);
            return inFlight[e] + totals[e].inFlight[then] - history[e][then];
        }

        Optional<ServiceCapacity.Estimate> estimate() {
            return capacity.estimate(endpoints, MEAN_WORK_MS);
        }

        long nowMs() {
            return nowMs;
        }

        double random() {
            return random.nextDouble();
        }

        boolean anyFree() {
            for (Server server : totals) {
                if (server.running.size() < SLOTS) {
                    return true;
                }
            }
            return false;
        }

        /** Sends a request to an endpoint that is known to be free. */
        void sendFree(Request request) {
            request.sender = index;
            for (Server server : totals) {
                if (server.running.size() < SLOTS) {
                    server.accept(request);
                    return;
                }
            }
        }

        /** Sends a request to an endpoint; after a second refusal, the caller is told to return. */
        void send(Request request) {
            List<EndpointState> tried = new ArrayList<>();
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                EndpointState chosen =
                        placement.choose(RelayWorkKind.REQUEST, endpoints, tried).orElseThrow();
                tracker.begin(chosen.id()).close();
                request.sender = index;
                if (totals[endpoints.indexOf(chosen)].accept(request)) {
                    return;
                }
                tried.add(chosen);
            }
            refuse(request, BUSY_RETRY_AFTER_MS);
        }

        /** Refuses a request; its caller returns if a third of its time is enough for that. */
        void refuse(Request request, long retryAfterMs) {
            refusals++;
            for (Server server : totals) {
                if (server.running.size() < SLOTS) {
                    wrongRefusals++;
                    break;
                }
            }
            if (retryAfterMs <= (request.deadlineAtMs - nowMs) / 3) {
                returns.add(new Return(nowMs + retryAfterMs, returns.size(), request));
            }
        }
    }

    private record Return(long atMs, int order, Request request) implements Comparable<Return> {
        @Override
        public int compareTo(Return other) {
            return Long.compare(atMs, other.atMs);
        }
    }

    /** Endpoint with its running and waiting requests. */
    final class Server {
        final int index;
        final List<Request> running = new ArrayList<>();
        final Deque<Request> queue = new ArrayDeque<>();
        final int[] runningHistory = new int[MAX_LAG_MS + 1];
        final int[] queueHistory = new int[MAX_LAG_MS + 1];
        final int[] inFlight = new int[MAX_LAG_MS + 1];
        final double[] paceHistory = new double[MAX_LAG_MS + 1];
        private long paceUntilMs;
        private double pace = 1;

        Server(int index) {
            this.index = index;
        }

        boolean accept(Request request) {
            if (running.size() < SLOTS) {
                start(request);
            } else if (queue.size() < ENDPOINT_QUEUE) {
                queue.add(request);
            } else {
                return false;
            }
            instances.get(request.sender).inFlight[index]++;
            return true;
        }

        void start(Request request) {
            request.startedAtMs = nowMs;
            request.endedAtMs = nowMs + Math.round(request.workMs * pace);
            running.add(request);
        }

        void step() {
            if (nowMs >= paceUntilMs) {
                pace = random.nextDouble() < SLOW_SHARE ? SLOW_FACTOR : 1;
                paceUntilMs = nowMs + SLOW_MS;
            }
            for (Request request : List.copyOf(running)) {
                if (request.endedAtMs <= nowMs) {
                    running.remove(request);
                    instances.get(request.sender).inFlight[index]--;
                }
            }
            while (running.size() < SLOTS && !queue.isEmpty()) {
                start(queue.poll());
            }
        }

        void remember() {
            int slot = (int) (nowMs % (MAX_LAG_MS + 1));
            runningHistory[slot] = running.size();
            queueHistory[slot] = queue.size();
            inFlight[slot] = 0;
            paceHistory[slot] = pace;
            for (Instance instance : instances) {
                instance.history[index][slot] = instance.inFlight[index];
                inFlight[slot] += instance.inFlight[index];
            }
        }
    }

    /** What callers got. */
    record Result(
            double value,
            double[] inTarget,
            double[] served,
            double refusals,
            double wrong,
            long p50Ms,
            long p99Ms) {}

    long nowMs;
    final Random random;
    final List<Instance> instances = new ArrayList<>();
    final Server[] totals = new Server[ENDPOINTS];
    private final long lagMs;
    private final List<EndpointState> endpoints = new ArrayList<>();
    private final PriorityQueue<Return> returns = new PriorityQueue<>();
    private final List<Request> requests = new ArrayList<>();
    private int refusals;
    private int wrongRefusals;

    SimulatedPlainFleet(int instanceCount, long lagMs, long seed, Function<Instance, Gate> gates) {
        this.lagMs = lagMs;
        this.random = new Random(seed);
        for (int e = 0; e < ENDPOINTS; e++) {
            totals[e] = new Server(e);
            endpoints.add(
                    new EndpointState(
                            EndpointId.of("e" + e),
                            "s",
                            "127.0.0.1:" + (e + 1),
                            "z" + e,
                            1,
                            Set.of(),
                            new EndpointLoad(0, 0, SLOTS, 0),
                            0));
        }
        for (int i = 0; i < instanceCount; i++) {
            Instance instance = new Instance(i, instanceCount);
            instance.gate = gates.apply(instance);
            instances.add(instance);
        }
    }

    private Optional<ObservedLoad> report(EndpointState endpoint) {
        Server server = totals[endpoints.indexOf(endpoint)];
        int slot = (int) Math.floorMod(nowMs - lagMs, MAX_LAG_MS + 1L);
        return Optional.of(
                new ObservedLoad(
                        server.runningHistory[slot],
                        server.queueHistory[slot],
                        SLOTS,
                        OptionalInt.of((int) Math.round(100 * server.paceHistory[slot])),
                        lagMs));
    }

    /** Plays a load, as a multiple of the capacity, for a time. */
    Result play(double load, long durationMs) {
        for (nowMs = 0; nowMs < durationMs; nowMs++) {
            for (Server server : totals) {
                server.step();
                server.remember();
            }
            instances.forEach(i -> i.gate.step());
            while (!returns.isEmpty() && returns.peek().atMs() <= nowMs) {
                arrive(returns.poll().request());
            }
            double swing = 1 + LOAD_SWING * Math.sin(2 * Math.PI * nowMs / LOAD_PERIOD_MS);
            double expected = load * CAPACITY_PER_MS * swing;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                Request request = new Request();
                requests.add(request);
                arrive(request);
            }
        }
        return result(durationMs);
    }

    private void arrive(Request request) {
        request.instance = instances.get(random.nextInt(instances.size()));
        request.instance.gate.arrive(request);
    }

    private Result result(long durationMs) {
        double value = 0;
        double[] inTarget = new double[3];
        double[] served = new double[3];
        int[] counts = new int[3];
        List<Long> waits = new ArrayList<>();
        for (Request request : requests) {
            if (request.arrivedAtMs > durationMs - 3_000) {
                continue;
            }
            counts[0]++;
            counts[request.priority]++;
            if (request.startedAtMs >= 0 && request.endedAtMs <= request.deadlineAtMs) {
                boolean inTime = request.endedAtMs <= request.targetAtMs;
                value += inTime ? 1 : LATE_VALUE;
                inTarget[request.priority] += inTime ? 1 : 0;
                served[request.priority]++;
                served[0]++;
                waits.add(request.startedAtMs - request.arrivedAtMs);
            }
        }
        waits.sort(Long::compare);
        for (int priority = 0; priority < counts.length; priority++) {
            inTarget[priority] /= counts[priority];
            served[priority] /= counts[priority];
        }
        return new Result(
                value / counts[0],
                inTarget,
                served,
                (double) refusals / requests.size(),
                (double) wrongRefusals / requests.size(),
                waits.get(waits.size() / 2),
                waits.get((int) (0.99 * waits.size())));
    }
}

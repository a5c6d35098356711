package io.sapphirestack.runtime.order;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.record.ObjectivesSpec;
import io.sapphirestack.core.record.ResumeSpec;
import io.sapphirestack.core.record.ServiceSpec;
import io.sapphirestack.core.record.ServiceType;
import io.sapphirestack.core.routing.DispatchPermit;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.core.routing.EndpointTable;
import io.sapphirestack.core.routing.WorkKind;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.control.ControlException;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/**
 * Simulation of three instances, a control log and three endpoints in one process. Faults and the
 * order of execution depend only on the seed.
 */
final class OrderSimulation {

    static final String SERVICE = "ledger";
    private static final int INSTANCES = 3;
    private static final int ENDPOINTS = 3;

    final DeterministicScheduler scheduler;
    final FakeOrderLedger ledger = new FakeOrderLedger();
    final List<Submission> submissions = new ArrayList<>();
    final Map<OrderKey, List<Execution>> executions = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    private final Set<OrderFault> faults;
    private final int faultPercent;
    private final boolean lookUpSupported;
    private final Instance[] instances = new Instance[INSTANCES];
    private int nonces;

    OrderSimulation(long seed, Set<OrderFault> faults, int faultPercent, boolean lookUpSupported) {
        this.scheduler = new DeterministicScheduler(seed);
        this.faults = faults.isEmpty() ? EnumSet.noneOf(OrderFault.class) : EnumSet.copyOf(faults);
        this.faultPercent = faultPercent;
        this.lookUpSupported = lookUpSupported;
        for (int i = 0; i < INSTANCES; i++) {
            instances[i] = new Instance(i, 1);
        }
        publishView();
    }

    static OrderKey key(int number) {
        return new OrderKey(AccountId.of("a1"), SERVICE, "k" + number);
    }

    /**
     * Starts a request with an order at an instance. Its result is stored in the returned
     * submission later.
     */
    Submission submit(int instance, int key, String body, long timeoutMs) {
        Instance target = instances[instance];
        Submission submission = new Submission(submissions.size(), key(key), body);
        submissions.add(submission);
        long deadlineMs = scheduler.nowMs() + timeoutMs;
        scheduler.spawn(
                target.group,
                submission.id,
                () -> {
                    try {
                        submission.response =
                                target.service.submit(
                                        new OrderRequest(
                                                submission.key,
                                                "text/plain",
                                                body.getBytes(StandardCharsets.UTF_8),
                                                deadlineMs));
                        submission.executed = ExecutionState.YES;
                        if (!(ledger.apply(new ControlCommand.ReadOrder(submission.key))
                                instanceof ControlResult.OrderDone)) {
                            violations.add(
                                    "response returned before the outcome was recorded: "
                                            + submission);
                        }
                    } catch (RefusedException e) {
                        submission.executed = e.refusal().executed();
                        submission.code = e.refusal().code();
                    }
                });
        return submission;
    }

    /** Reads the state of an order at an instance and compares it with the recorded executions. */
    void outcome(int instance, int key) {
        Instance target = instances[instance];
        scheduler.spawn(
                target.group,
                () -> {
                    try {
                        ControlResult result = target.service.outcome(key(key));
                        int count = executions.getOrDefault(key(key), List.of()).size();
                        if (result instanceof ControlResult.OrderDone && count != 1) {
                            violations.add(
                                    "state is done, but the number of executions is "
                                            + count
                                            + ": "
                                            + key);
                        }
                        if (result instanceof ControlResult.OrderReleased && count != 0) {
                            violations.add(
                                    "state is released, but the number of executions is "
                                            + count
                                            + ": "
                                            + key);
                        }
                    } catch (RefusedException e) {
                        // The state cannot be read now, so there is nothing to compare.
                    }
                });
    }

    /** Crashes an instance and restarts it with the next incarnation. */
    void crash(int instance) {
        scheduler.crash(instances[instance].group);
        instances[instance] = new Instance(instance, instances[instance].ref.incarnation() + 1);
        publishView();
    }

    void pause(int instance) {
        scheduler.pause(instances[instance].group);
    }

    void resume(int instance) {
        scheduler.resume(instances[instance].group);
    }

    /** Runs all threads to completion and returns the violations of the at-most-once guarantee. */
    List<String> finishAndCheck() {
        scheduler.runToCompletion();
        executions.forEach(
                (key, list) -> {
                    if (list.size() > 1) {
                        violations.add(
                                key.key() + " was executed " + list.size() + " times: " + list);
                    }
                });
        for (Submission submission : submissions) {
            check(submission);
        }
        return violations;
    }

    private void check(Submission submission) {
        List<Execution> list = executions.getOrDefault(submission.key, List.of());
        if (submission.executed == ExecutionState.NO
                && list.stream().anyMatch(execution -> execution.requestId() == submission.id)) {
            violations.add("executed although it was refused as not executed: " + submission);
        }
        if (submission.response != null) {
            String expected = "response to " + submission.key.key() + " " + submission.body;
            String actual = new String(submission.response.body(), StandardCharsets.UTF_8);
            if (list.size() != 1 || !actual.equals(expected)) {
                violations.add(
                        "got response '"
                                + actual
                                + "', but the executions are "
                                + list
                                + ": "
                                + submission);
            }
        }
    }

    /** Returns the number of orders that are still reserved, so that their outcome is unknown. */
    long unknownOrderCount() {
        return submissions.stream()
                .map(submission -> submission.key)
                .distinct()
                .filter(
                        key ->
                                ledger.apply(new ControlCommand.ReadOrder(key))
                                        instanceof ControlResult.OrderReserved)
                .count();
    }

    private boolean shouldInject(OrderFault fault) {
        return faults.contains(fault) && scheduler.random().nextInt(100) < faultPercent;
    }

    private void publishView() {
        Map<InstanceId, InstanceInfo> live = new HashMap<>();
        for (Instance instance : instances) {
            live.put(
                    instance.ref.id(),
                    new InstanceInfo(instance.ref, "az1", "r1", "h:1", "h:2", 1));
        }
        for (Instance instance : instances) {
            instance.blackboard.control().publish(new ControlView(1, Map.of(), live, List.of()));
        }
    }

    /** Execution of an order at an endpoint on behalf of a request. */
    record Execution(int requestId, String body, String endpoint) {}

    /**
     * Request of a caller with its result. {@code response} and {@code executed} are {@code null}
     * until there is one.
     */
    static final class Submission {
        final int id;
        final OrderKey key;
        final String body;
        ServiceResponse response;
        ExecutionState executed;
        String code = "";

        Submission(int id, OrderKey key, String body) {
            this.id = id;
            this.key = key;
            this.body = body;
        }

        @Override
        public String toString() {
            return "#" + id + " " + key.key() + " " + body + " executed=" + executed + " " + code;
        }
    }

    private final class Instance {
        private final InstanceRef ref;
        private final String group;
        private final Blackboard blackboard = Blackboard.create();
        private final DefaultOrderService service;

        Instance(int number, long incarnation) {
            this.ref = new InstanceRef(InstanceId.of("i" + number), incarnation);
            this.group = ref.toString();
            blackboard.self().publish(Optional.of(ref));
            blackboard.endpoints().publish(endpointTable());
            ServiceSpec spec =
                    new ServiceSpec(
                            ServiceType.PLAIN,
                            "",
                            true,
                            lookUpSupported,
                            0,
                            200,
                            1_000,
                            ResumeSpec.DEFAULT,
                            ObjectivesSpec.DEFAULT);
            this.service =
                    new DefaultOrderService(
                            blackboard,
                            new FakeControl(),
                            name -> Optional.of(spec),
                            request ->
                                    blackboard.endpoints().read().ofService(SERVICE).stream()
                                            .filter(e -> !request.excluded().contains(e.id()))
                                            .findFirst(),
                            this::begin,
                            OrderSimulation.this::open,
                            new OrderRuntime(
                                    task -> scheduler.spawn(group, task),
                                    (task, delayMs) ->
                                            scheduler.spawn(group, delayed(task, delayMs)),
                                    new SimulatedWaitStrategy(),
                                    OrderFixtures.crashMonitor(endpoint -> true),
                                    scheduler::nowMs,
                                    () -> "n" + nonces++));
        }

        private Runnable delayed(Runnable task, long delayMs) {
            long untilMs = scheduler.nowMs() + delayMs;
            return () -> {
                scheduler.waitUntil(untilMs);
                task.run();
            };
        }

        private EndpointTable endpointTable() {
            Map<EndpointId, EndpointState> table = new HashMap<>();
            for (int i = 0; i < ENDPOINTS; i++) {
                EndpointId id = EndpointId.of("s" + i);
                table.put(
                        id,
                        new EndpointState(
                                id, SERVICE, "s" + i, "az1", 1, Set.of(), EndpointLoad.NONE, 0));
            }
            return new EndpointTable(table);
        }

        private DispatchPermit begin(EndpointState endpoint, WorkKind kind)
                throws RefusedException {
            scheduler.yieldTurn();
            if (shouldInject(OrderFault.STALE)) {
                throw OrderRefusals.notExecuted(503, "configuration_stale", "dispatch", "stale");
            }
            return () -> {};
        }

        private final class FakeControl implements ControlClient {

            @Override
            public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
                scheduler.yieldTurn();
                if (shouldInject(OrderFault.CONTROL_LOST)) {
                    boolean sent = scheduler.random().nextBoolean();
                    if (sent && scheduler.random().nextBoolean()) {
                        ledger.apply(command);
                    }
                    return failed(timeoutMs, sent);
                }
                if (shouldInject(OrderFault.CONTROL_LATE)) {
                    long lateMs = scheduler.nowMs() + scheduler.random().nextInt(10_000);
                    scheduler.spawn(
                            "control",
                            () -> {
                                scheduler.waitUntil(lateMs);
                                ledger.apply(command);
                            });
                    if (scheduler.random().nextBoolean()) {
                        return failed(timeoutMs, true);
                    }
                }
                ControlResult result = ledger.apply(command);
                scheduler.yieldTurn();
                return CompletableFuture.completedFuture(result);
            }

            private CompletableFuture<ControlResult> failed(long timeoutMs, boolean maybeApplied) {
                scheduler.waitUntil(
                        scheduler.nowMs() + scheduler.random().nextInt((int) timeoutMs));
                return CompletableFuture.failedFuture(
                        new ControlException("submit", "voter", "no reply", maybeApplied, null));
            }

            @Override
            public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
                throw new UnsupportedOperationException();
            }
        }
    }

    private PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        scheduler.yieldTurn();
        if (shouldInject(OrderFault.CONNECT_FAILED)) {
            throw new EndpointException("connect", address, "refused", false, false, null);
        }
        return new PlainConnection() {
            @Override
            public PlainResponse send(
                    String method, String path, Map<String, String> headers, byte[] body)
                    throws EndpointException {
                scheduler.yieldTurn();
                OrderKey key =
                        new OrderKey(
                                AccountId.of(headers.get("Sapphire-Account")),
                                SERVICE,
                                path.substring("/orders/".length()));
                return method.equals("POST")
                        ? execute(address, key, body, readTimeoutMs)
                        : storedResponse(key);
            }

            @Override
            public void close() {
                // There are no resources to release.
            }
        };
    }

    private PlainResponse execute(String address, OrderKey key, byte[] body, long timeoutMs)
            throws EndpointException {
        if (shouldInject(OrderFault.NOT_EXECUTED)) {
            return new PlainResponse(503, "", new byte[0], true, true);
        }
        if (shouldInject(OrderFault.REQUEST_LOST)) {
            throw responseTimeout(address, timeoutMs);
        }
        int requestId = scheduler.currentRequestId();
        if (shouldInject(OrderFault.EXECUTED_LATE)) {
            long lateMs = scheduler.nowMs() + scheduler.random().nextInt(5_000);
            scheduler.spawn(
                    "service",
                    requestId,
                    () -> {
                        scheduler.waitUntil(lateMs);
                        recordExecution(address, key, body, requestId);
                    });
            throw responseTimeout(address, timeoutMs);
        }
        recordExecution(address, key, body, requestId);
        scheduler.yieldTurn();
        if (shouldInject(OrderFault.RESPONSE_LOST)) {
            throw responseTimeout(address, timeoutMs);
        }
        if (shouldInject(OrderFault.RESPONSE_LATE)) {
            scheduler.waitUntil(scheduler.nowMs() + 20_000);
        }
        return storedResponse(key);
    }

    private void recordExecution(String address, OrderKey key, byte[] body, int requestId) {
        executions
                .computeIfAbsent(key, k -> new ArrayList<>())
                .add(new Execution(requestId, new String(body, StandardCharsets.UTF_8), address));
    }

    private PlainResponse storedResponse(OrderKey key) {
        List<Execution> list = executions.getOrDefault(key, List.of());
        if (list.isEmpty()) {
            return new PlainResponse(404, "", new byte[0], false, true);
        }
        String response = "response to " + key.key() + " " + list.get(0).body();
        return new PlainResponse(
                200, "text/plain", response.getBytes(StandardCharsets.UTF_8), false, true);
    }

    private EndpointException responseTimeout(String address, long timeoutMs) {
        scheduler.waitUntil(scheduler.nowMs() + scheduler.random().nextInt((int) timeoutMs));
        return new EndpointException("receive", address, "read timed out", true, true, null);
    }

    /** Waits in simulated time and yields the turn to other threads. */
    private final class SimulatedWaitStrategy implements WaitStrategy {

        @Override
        public <T> Optional<T> await(CompletableFuture<T> future, long untilMs)
                throws ExecutionException {
            scheduler.yieldUntil(() -> future.isDone() || scheduler.nowMs() >= untilMs);
            if (!future.isDone()) {
                return Optional.empty();
            }
            try {
                return Optional.ofNullable(future.get());
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}

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

/** Three instances, a control log and three endpoints, all simulated, with faults by seed. */
final class OrderWorld {

    static final String SERVICE = "ledger";
    private static final int INSTANCES = 3;
    private static final int ENDPOINTS = 3;

    final TurnScheduler turns;
    final FakeOrderLedger ledger = new FakeOrderLedger();
    final List<Submission> submissions = new ArrayList<>();
    final Map<OrderKey, List<Run>> runs = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    private final Set<OrderFault> faults;
    private final int faultPercent;
    private final boolean lookUp;
    private final Instance[] instances = new Instance[INSTANCES];
    private int nonces;

    OrderWorld(long seed, Set<OrderFault> faults, int faultPercent, boolean lookUp) {
        this.turns = new TurnScheduler(seed);
        this.faults = faults.isEmpty() ? EnumSet.noneOf(OrderFault.class) : EnumSet.copyOf(faults);
        this.faultPercent = faultPercent;
        this.lookUp = lookUp;
        for (int i = 0; i < INSTANCES; i++) {
            instances[i] = new Instance(i, 1);
        }
        publishView();
    }

    static OrderKey key(int number) {
        return new OrderKey(AccountId.of("a1"), SERVICE, "k" + number);
    }

    /** Sends an order to an instance; the result is recorded when it comes. */
    Submission submit(int instance, int key, String body, long timeoutMs) {
        Instance target = instances[instance];
        Submission submission = new Submission(submissions.size(), key(key), body);
        submissions.add(submission);
        long deadlineMs = turns.nowMs() + timeoutMs;
        turns.spawn(
                target.group,
                submission.id,
                () -> {
                    try {
                        submission.answer =
                                target.service.submit(
                                        new OrderRequest(
                                                submission.key,
                                                "text/plain",
                                                body.getBytes(StandardCharsets.UTF_8),
                                                deadlineMs));
                        submission.ran = ExecutionState.YES;
                        if (!(ledger.apply(new ControlCommand.ReadOrder(submission.key))
                                instanceof ControlResult.OrderDone)) {
                            violations.add("answered before it was recorded: " + submission);
                        }
                    } catch (RefusedException e) {
                        submission.ran = e.refusal().executed();
                        submission.code = e.refusal().code();
                    }
                });
        return submission;
    }

    /** Asks an instance for the state of an order and compares it with the runs. */
    void outcome(int instance, int key) {
        Instance target = instances[instance];
        turns.spawn(
                target.group,
                () -> {
                    try {
                        ControlResult result = target.service.outcome(key(key));
                        int count = runs.getOrDefault(key(key), List.of()).size();
                        if (result instanceof ControlResult.OrderDone && count != 1) {
                            violations.add("done, but ran " + count + " times: " + key);
                        }
                        if (result instanceof ControlResult.OrderReleased && count != 0) {
                            violations.add("released, but ran " + count + " times: " + key);
                        }
                    } catch (RefusedException e) {
                        // The state cannot be read now, which promises nothing.
                    }
                });
    }

    /** Ends an instance and starts it again under the next incarnation. */
    void crash(int instance) {
        turns.crash(instances[instance].group);
        instances[instance] = new Instance(instance, instances[instance].ref.incarnation() + 1);
        publishView();
    }

    void pause(int instance) {
        turns.pause(instances[instance].group);
    }

    void resume(int instance) {
        turns.resume(instances[instance].group);
    }

    /** Lets everything end and returns what contradicts the rules. */
    List<String> finishAndCheck() {
        turns.finish();
        runs.forEach(
                (key, list) -> {
                    if (list.size() > 1) {
                        violations.add(key.key() + " ran " + list.size() + " times: " + list);
                    }
                });
        for (Submission submission : submissions) {
            check(submission);
        }
        return violations;
    }

    private void check(Submission submission) {
        List<Run> list = runs.getOrDefault(submission.key, List.of());
        if (submission.ran == ExecutionState.NO
                && list.stream().anyMatch(run -> run.request() == submission.id)) {
            violations.add("ran after it was refused as not run: " + submission);
        }
        if (submission.answer != null) {
            String expected = "answer to " + submission.key.key() + " " + submission.body;
            String got = new String(submission.answer.body(), StandardCharsets.UTF_8);
            if (list.size() != 1 || !got.equals(expected)) {
                violations.add("answered '" + got + "' but runs are " + list + ": " + submission);
            }
        }
    }

    /** Returns how many orders have no known outcome at the end. */
    long unknownOrders() {
        return submissions.stream()
                .map(submission -> submission.key)
                .distinct()
                .filter(
                        key ->
                                ledger.apply(new ControlCommand.ReadOrder(key))
                                        instanceof ControlResult.OrderReserved)
                .count();
    }

    private boolean strikes(OrderFault fault) {
        return faults.contains(fault) && turns.random().nextInt(100) < faultPercent;
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

    /** One run of an order at an endpoint. */
    record Run(int request, String body, String endpoint) {}

    /** Request of a caller with its result. */
    static final class Submission {
        final int id;
        final OrderKey key;
        final String body;
        ServiceResponse answer;
        ExecutionState ran;
        String code = "";

        Submission(int id, OrderKey key, String body) {
            this.id = id;
            this.key = key;
            this.body = body;
        }

        @Override
        public String toString() {
            return "#" + id + " " + key.key() + " " + body + " ran=" + ran + " " + code;
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
                            lookUp,
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
                            OrderWorld.this::open,
                            new OrderRuntime(
                                    task -> turns.spawn(group, task),
                                    (task, delayMs) -> turns.spawn(group, delayed(task, delayMs)),
                                    new TurnWaits(),
                                    turns::nowMs,
                                    () -> "n" + nonces++));
        }

        private Runnable delayed(Runnable task, long delayMs) {
            long untilMs = turns.nowMs() + delayMs;
            return () -> {
                turns.waitUntil(untilMs);
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
            turns.turn();
            if (strikes(OrderFault.STALE)) {
                throw OrderRefusals.notRun(503, "configuration_stale", "dispatch", "stale");
            }
            return () -> {};
        }

        private final class FakeControl implements ControlClient {

            @Override
            public CompletableFuture<ControlResult> submit(ControlCommand command, long timeoutMs) {
                turns.turn();
                if (strikes(OrderFault.CONTROL_LOST)) {
                    boolean sent = turns.random().nextBoolean();
                    if (sent && turns.random().nextBoolean()) {
                        ledger.apply(command);
                    }
                    return failed(timeoutMs, sent);
                }
                if (strikes(OrderFault.CONTROL_LATE)) {
                    long lateMs = turns.nowMs() + turns.random().nextInt(10_000);
                    turns.spawn(
                            "control",
                            () -> {
                                turns.waitUntil(lateMs);
                                ledger.apply(command);
                            });
                    if (turns.random().nextBoolean()) {
                        return failed(timeoutMs, true);
                    }
                }
                ControlResult result = ledger.apply(command);
                turns.turn();
                return CompletableFuture.completedFuture(result);
            }

            private CompletableFuture<ControlResult> failed(long timeoutMs, boolean maybe) {
                turns.waitUntil(turns.nowMs() + turns.random().nextInt((int) timeoutMs));
                return CompletableFuture.failedFuture(
                        new ControlException("submit", "voter", "no answer", maybe, null));
            }

            @Override
            public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
                throw new UnsupportedOperationException();
            }
        }
    }

    private PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        turns.turn();
        if (strikes(OrderFault.CONNECT_FAILED)) {
            throw new EndpointException("connect", address, "refused", false, false, null);
        }
        return new PlainConnection() {
            @Override
            public PlainAnswer send(
                    String method, String path, Map<String, String> headers, byte[] body)
                    throws EndpointException {
                turns.turn();
                OrderKey key =
                        new OrderKey(
                                AccountId.of(headers.get("Sapphire-Account")),
                                SERVICE,
                                path.substring("/orders/".length()));
                return method.equals("POST")
                        ? execute(address, key, body, readTimeoutMs)
                        : found(key);
            }

            @Override
            public void close() {
                // Nothing is held.
            }
        };
    }

    private PlainAnswer execute(String address, OrderKey key, byte[] body, long timeoutMs)
            throws EndpointException {
        if (strikes(OrderFault.NOT_RUN)) {
            return new PlainAnswer(503, "", new byte[0], true, true);
        }
        if (strikes(OrderFault.REQUEST_LOST)) {
            throw lost(address, timeoutMs);
        }
        int request = turns.request();
        if (strikes(OrderFault.RUN_LATE)) {
            long lateMs = turns.nowMs() + turns.random().nextInt(5_000);
            turns.spawn(
                    "service",
                    request,
                    () -> {
                        turns.waitUntil(lateMs);
                        run(address, key, body, request);
                    });
            throw lost(address, timeoutMs);
        }
        run(address, key, body, request);
        turns.turn();
        if (strikes(OrderFault.ANSWER_LOST)) {
            throw lost(address, timeoutMs);
        }
        if (strikes(OrderFault.ANSWER_LATE)) {
            turns.waitUntil(turns.nowMs() + 20_000);
        }
        return found(key);
    }

    private void run(String address, OrderKey key, byte[] body, int request) {
        runs.computeIfAbsent(key, k -> new ArrayList<>())
                .add(new Run(request, new String(body, StandardCharsets.UTF_8), address));
    }

    private PlainAnswer found(OrderKey key) {
        List<Run> list = runs.getOrDefault(key, List.of());
        if (list.isEmpty()) {
            return new PlainAnswer(404, "", new byte[0], false, true);
        }
        String answer = "answer to " + key.key() + " " + list.get(0).body();
        return new PlainAnswer(
                200, "text/plain", answer.getBytes(StandardCharsets.UTF_8), false, true);
    }

    private EndpointException lost(String address, long timeoutMs) {
        turns.waitUntil(turns.nowMs() + turns.random().nextInt((int) timeoutMs));
        return new EndpointException("receive", address, "no answer", true, true, null);
    }

    /** Waits in simulated time. */
    private final class TurnWaits implements WaitStrategy {

        @Override
        public <T> Optional<T> await(CompletableFuture<T> future, long untilMs)
                throws ExecutionException {
            turns.turnWhen(() -> future.isDone() || turns.nowMs() >= untilMs);
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

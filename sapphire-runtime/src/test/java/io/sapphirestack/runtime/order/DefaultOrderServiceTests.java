package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Tests a single order at one instance: the sequence of reservation, dispatch and commit, reused
 * idempotency keys, and deadlines that pass before the order is sent.
 */
class DefaultOrderServiceTests {

    private static final OrderKey KEY =
            new OrderKey(AccountId.of("a1"), OrderFixtures.SERVICE, "k 1/\u00e9");

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final AtomicInteger nonces = new AtomicInteger();
    private final FakeOrderLedger ledger = new FakeOrderLedger();
    private final List<String> calls = new ArrayList<>();
    private final Blackboard blackboard = Blackboard.create();
    private boolean commitsAreConfirmed = true;
    private boolean endpointCrashes;
    private int endpointProcess;
    private final RequestCrashMonitor crashes =
            OrderFixtures.crashMonitor(endpoint -> !endpointCrashes);

    private DefaultOrderService service(Executor executor) {
        blackboard.self().publish(Optional.of(new InstanceRef(InstanceId.of("i1"), 1)));
        ControlClient control =
                OrderFixtures.controlClient(
                        command -> {
                            calls.add(command.getClass().getSimpleName());
                            ControlResult result = ledger.apply(command);
                            return command instanceof ControlCommand.CompleteOrder
                                            && !commitsAreConfirmed
                                    ? new CompletableFuture<>()
                                    : CompletableFuture.completedFuture(result);
                        });
        return new DefaultOrderService(
                blackboard,
                control,
                name -> Optional.of(OrderFixtures.SPEC),
                request ->
                        OrderFixtures.firstOf(
                                        List.of(
                                                OrderFixtures.endpoint(
                                                        "s" + (1 + endpointProcess), "h:1")))
                                .choose(request),
                (endpoint, kind) -> {
                    calls.add("guard");
                    return () -> calls.add("permit closed");
                },
                (address, connectTimeoutMs, readTimeoutMs) -> connection(),
                new OrderRuntime(
                        executor,
                        (task, delayMs) -> {},
                        WaitStrategy.blocking(nowMs::get),
                        crashes,
                        nowMs::get,
                        () -> "n" + nonces.incrementAndGet()));
    }

    private PlainConnection connection() {
        calls.add("connect");
        return new PlainConnection() {
            @Override
            public PlainResponse send(
                    String method, String path, Map<String, String> headers, byte[] body)
                    throws EndpointException {
                calls.add(method + " " + path);
                if (endpointCrashes) {
                    endpointProcess++;
                    throw new EndpointException("receive", "h:1", "reset", true, false, null);
                }
                return new PlainResponse(201, "text/plain", new byte[] {1}, false, true);
            }

            @Override
            public void close() {
                calls.add("close");
            }
        };
    }

    private OrderRequest request(String body, long timeoutMs) {
        return request(KEY, body, timeoutMs);
    }

    private OrderRequest request(OrderKey key, String body, long timeoutMs) {
        return new OrderRequest(key, "text/plain", body.getBytes(), nowMs.get() + timeoutMs);
    }

    @Test
    void orderIsReservedBeforeItIsSentAndCommittedBeforeTheResponse() throws Exception {
        ServiceResponse response = service(Runnable::run).submit(request("b", 1_000));
        assertThat(response.status()).isEqualTo(201);
        assertThat(response.endpoint()).isEqualTo("s1");
        assertThat(calls)
                .containsExactly(
                        "ReserveOrder",
                        "connect",
                        "guard",
                        "POST /orders/k%201%2F%C3%A9",
                        "CompleteOrder",
                        "permit closed",
                        "close");
    }

    private void assertRefused(
            DefaultOrderService service, String key, String code, ExecutionState executed) {
        OrderKey orderKey = new OrderKey(KEY.account(), KEY.service(), key);
        assertThatThrownBy(() -> service.submit(request(orderKey, "deadly", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo(code);
                            assertThat(e.refusal().executed()).isEqualTo(executed);
                        });
    }

    /** Guards against an order that crashes one endpoint after the other under new keys. */
    @Test
    void orderThatCrashesEndpointsIsRefusedWhenItComesAgain() throws Exception {
        DefaultOrderService service = service(Runnable::run);
        endpointCrashes = true;
        assertRefused(service, "k1", "outcome_unknown", ExecutionState.UNKNOWN);
        assertRefused(service, "k2", "outcome_unknown", ExecutionState.UNKNOWN);
        calls.clear();
        assertRefused(service, "k3", "request_quarantined", ExecutionState.NO);
        assertThat(calls).containsExactly("ReserveOrder", "ReleaseOrder");
        endpointCrashes = false;
        assertThat(service.submit(request("other", 1_000)).status()).isEqualTo(201);
    }

    @Test
    void resentOrderGetsTheStoredResponseAndAnotherBodyIsRefused() throws Exception {
        DefaultOrderService service = service(Runnable::run);
        service.submit(request("b", 1_000));
        ServiceResponse stored = service.submit(request("b", 1_000));
        assertThat(stored.status()).isEqualTo(201);
        assertThat(stored.endpoint()).isEmpty();
        assertThat(calls).filteredOn("connect"::equals).hasSize(1);
        assertThatThrownBy(() -> service.submit(request("other", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("key_reused");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO);
                        });
    }

    @Test
    void unconfirmedCommitIsReportedAsUnknownOutcome() {
        commitsAreConfirmed = false;
        assertThatThrownBy(() -> service(Runnable::run).submit(request("b", 20)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("outcome_unknown");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.UNKNOWN);
                        });
    }

    @Test
    void orderQueuedBeyondItsDeadlineIsNeverSent() {
        List<Runnable> queued = new ArrayList<>();
        assertThatThrownBy(() -> service(queued::add).submit(request("b", 20)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("deadline_exceeded");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO);
                        });
        // The fake clock does not advance, so it is not the deadline check but the cancelled
        // dispatch that prevents sending.
        queued.forEach(Runnable::run);
        assertThat(calls).containsExactly("ReserveOrder", "ReleaseOrder");
    }

    @Test
    void fullExecutorReleasesTheReservation() {
        Executor full =
                task -> {
                    throw new RejectedExecutionException();
                };
        assertThatThrownBy(() -> service(full).submit(request("b", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().code()).isEqualTo("overloaded"));
        assertThat(calls).containsExactly("ReserveOrder", "ReleaseOrder");
    }

    @Test
    void orderIsNotSentIfItsDeadlinePassesBeforeTheDispatchRuns() {
        DefaultOrderService service =
                service(
                        task -> {
                            nowMs.addAndGet(1_000);
                            task.run();
                        });
        assertThatThrownBy(() -> service.submit(request("b", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO));
        assertThat(calls).containsExactly("ReserveOrder", "ReleaseOrder");
    }

    @Test
    void instanceThatHasNotJoinedRefusesWithoutAReservation() {
        DefaultOrderService service = service(Runnable::run);
        blackboard.self().publish(Optional.empty());
        assertThatThrownBy(() -> service.submit(request("b", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().code()).isEqualTo("not_ready"));
        assertThat(calls).isEmpty();
    }
}

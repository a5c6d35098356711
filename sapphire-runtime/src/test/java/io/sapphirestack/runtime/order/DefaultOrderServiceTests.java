package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.control.ControlCommand;
import io.sapphirestack.core.control.ControlResult;
import io.sapphirestack.core.control.FleetStatus;
import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.id.OrderKey;
import io.sapphirestack.runtime.blackboard.Blackboard;
import io.sapphirestack.runtime.control.ControlClient;
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

/** Guards the rules of one order at one instance: deadlines, keys and the order of commits. */
class DefaultOrderServiceTests {

    private static final OrderKey KEY =
            new OrderKey(AccountId.of("a1"), OrderFixtures.SERVICE, "k 1/\u00e9");

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final AtomicInteger nonces = new AtomicInteger();
    private final FakeOrderLedger ledger = new FakeOrderLedger();
    private final List<String> log = new ArrayList<>();
    private final Blackboard blackboard = Blackboard.create();
    private boolean commitsAreConfirmed = true;

    private DefaultOrderService service(Executor executor) {
        blackboard.self().publish(Optional.of(new InstanceRef(InstanceId.of("i1"), 1)));
        ControlClient control =
                new ControlClient() {
                    @Override
                    public CompletableFuture<ControlResult> submit(
                            ControlCommand command, long timeoutMs) {
                        log.add(command.getClass().getSimpleName());
                        ControlResult result = ledger.apply(command);
                        return command instanceof ControlCommand.CompleteOrder
                                        && !commitsAreConfirmed
                                ? new CompletableFuture<>()
                                : CompletableFuture.completedFuture(result);
                    }

                    @Override
                    public CompletableFuture<FleetStatus> fleetStatus(long timeoutMs) {
                        throw new UnsupportedOperationException();
                    }
                };
        return new DefaultOrderService(
                blackboard,
                control,
                name -> Optional.of(OrderFixtures.SPEC),
                OrderFixtures.firstOf(List.of(OrderFixtures.endpoint("s1", "h:1"))),
                (endpoint, kind) -> {
                    log.add("guard");
                    return () -> log.add("permit closed");
                },
                (address, connectTimeoutMs, readTimeoutMs) -> connection(),
                new OrderRuntime(
                        executor,
                        (task, delayMs) -> {},
                        WaitStrategy.blocking(nowMs::get),
                        nowMs::get,
                        () -> "n" + nonces.incrementAndGet()));
    }

    private PlainConnection connection() {
        log.add("connect");
        return new PlainConnection() {
            @Override
            public PlainAnswer send(
                    String method, String path, Map<String, String> headers, byte[] body) {
                log.add(method + " " + path);
                return new PlainAnswer(201, "text/plain", new byte[] {1}, false, true);
            }

            @Override
            public void close() {
                log.add("close");
            }
        };
    }

    private OrderRequest request(String body, long timeoutMs) {
        return new OrderRequest(KEY, "text/plain", body.getBytes(), nowMs.get() + timeoutMs);
    }

    @Test
    void reservationComesFirstAndTheOutcomeIsCommittedBeforeTheAnswer() throws Exception {
        ServiceResponse answer = service(Runnable::run).submit(request("b", 1_000));
        assertThat(answer.status()).isEqualTo(201);
        assertThat(answer.endpoint()).isEqualTo("s1");
        assertThat(log)
                .containsExactly(
                        "ReserveOrder",
                        "connect",
                        "guard",
                        "POST /orders/k%201%2F%C3%A9",
                        "CompleteOrder",
                        "permit closed",
                        "close");
    }

    @Test
    void repeatedKeyGetsTheStoredAnswerAndAnotherBodyIsRefused() throws Exception {
        DefaultOrderService service = service(Runnable::run);
        service.submit(request("b", 1_000));
        ServiceResponse again = service.submit(request("b", 1_000));
        assertThat(again.status()).isEqualTo(201);
        assertThat(again.endpoint()).isEmpty();
        assertThat(log).filteredOn("connect"::equals).hasSize(1);
        assertThatThrownBy(() -> service.submit(request("other", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("key_reused");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO);
                        });
    }

    @Test
    void unconfirmedOutcomeIsReportedAsUnknown() {
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
    void orderThatWaitsForAThreadBeyondItsDeadlineIsNeverSent() {
        List<Runnable> queued = new ArrayList<>();
        assertThatThrownBy(() -> service(queued::add).submit(request("b", 20)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("deadline_exceeded");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO);
                        });
        // The clock stands still, so only the refusal itself keeps the order from being sent.
        queued.forEach(Runnable::run);
        assertThat(log).containsExactly("ReserveOrder", "ReleaseOrder");
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
        assertThat(log).containsExactly("ReserveOrder", "ReleaseOrder");
    }

    @Test
    void deadlineThatPassesDuringTheConnectStopsTheOrder() {
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
        assertThat(log).containsExactly("ReserveOrder", "ReleaseOrder");
    }

    @Test
    void instanceThatHasNotJoinedReservesNothing() {
        DefaultOrderService service = service(Runnable::run);
        blackboard.self().publish(Optional.empty());
        assertThatThrownBy(() -> service.submit(request("b", 1_000)))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().code()).isEqualTo("not_ready"));
        assertThat(log).isEmpty();
    }
}

package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.endpoint.EndpointException;
import io.sapphirestack.runtime.endpoint.RequestCrashMonitor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads that exceed their retry budget, and against idle connections that are closed
 * or time out: a read must then continue on a new connection or at another endpoint.
 */
class DefaultReadServiceTests {

    private static final long TIMEOUT_MS = OrderFixtures.SPEC.readTimeoutMs();

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final List<EndpointState> endpoints =
            List.of(OrderFixtures.endpoint("s1", "a1"), OrderFixtures.endpoint("s2", "a2"));
    private final List<String> calls = new ArrayList<>();
    private final Map<String, Deque<String>> outcomes = new HashMap<>();
    private final List<String> recordedRequests = new ArrayList<>();
    private final AtomicInteger remainingRetries = new AtomicInteger(10);
    private final Set<String> crashed = new HashSet<>();
    private final RequestCrashMonitor crashes =
            OrderFixtures.crashMonitor(endpoint -> !crashed.contains(endpoint.address()));
    private final DefaultReadService service = service(Runnable::run);

    private DefaultReadService service(java.util.concurrent.Executor executor) {
        return new DefaultReadService(
                name ->
                        name.equals(OrderFixtures.SERVICE)
                                ? Optional.of(OrderFixtures.SPEC)
                                : Optional.empty(),
                OrderFixtures.firstOf(endpoints),
                (endpoint, kind) -> () -> {},
                this::open,
                ReadRetryBudget.of(
                        recordedRequests::add, name -> remainingRetries.getAndDecrement() > 0),
                crashes,
                executor,
                WaitStrategy.blocking(nowMs::get),
                nowMs::get);
    }

    /** Sets the outcomes of the next requests to an address. Later requests succeed. */
    private void setOutcomes(String address, String... next) {
        outcomes.put(address, new ArrayDeque<>(List.of(next)));
    }

    private String nextOutcome(String address) {
        Deque<String> remaining = outcomes.getOrDefault(address, new ArrayDeque<>());
        return remaining.isEmpty() ? "ok" : remaining.removeFirst();
    }

    private PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        calls.add("open " + address);
        if ("refused".equals(outcomes.getOrDefault(address, new ArrayDeque<>()).peekFirst())) {
            nextOutcome(address);
            throw new EndpointException("connect", address, "refused", false, false, null);
        }
        return new PlainConnection() {
            @Override
            public PlainResponse send(
                    String method, String path, Map<String, String> headers, byte[] body)
                    throws EndpointException {
                String outcome = nextOutcome(address);
                calls.add(method + " " + path + " " + address + " " + outcome);
                if (outcome.equals("silent")) {
                    nowMs.addAndGet(readTimeoutMs);
                    throw new EndpointException("receive", address, "silent", true, true, null);
                }
                if (outcome.equals("closed")) {
                    throw new EndpointException("receive", address, "closed", true, false, null);
                }
                return new PlainResponse(
                        200, "text/plain", new byte[0], outcome.equals("not-run"), true);
            }

            @Override
            public void close() {
                calls.add("close " + address);
            }
        };
    }

    private ServiceResponse read() throws RefusedException {
        return service.read(
                AccountId.of("a"), OrderFixtures.SERVICE, "x?y=1", nowMs.get() + 10_000);
    }

    @Test
    void readThatCrashesEndpointsIsRefusedWhenItComesAgain() throws Exception {
        setOutcomes("a1", "closed");
        setOutcomes("a2", "closed");
        crashed.addAll(List.of("a1", "a2"));
        assertThatThrownBy(this::read)
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("request_quarantined");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.UNKNOWN);
                        });
        calls.clear();
        assertThatThrownBy(this::read)
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO);
                            assertThat(e.refusal().retryAfterMs()).isPositive();
                        });
        assertThat(calls).isEmpty();
        AccountId account = AccountId.of("a");
        assertThat(service.read(account, OrderFixtures.SERVICE, "other", 20_000).status())
                .isEqualTo(200);
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        read();
        read();
        assertThat(calls)
                .containsExactly("open a1", "GET /read/x?y=1 a1 ok", "GET /read/x?y=1 a1 ok");
    }

    @Test
    void expiredIdleConnectionIsNotReused() throws Exception {
        read();
        nowMs.addAndGet(5_000);
        read();
        assertThat(calls).filteredOn("open a1"::equals).hasSize(2);
    }

    @Test
    void reusedConnectionThatTimesOutIsReplacedAfterOneTimeout() throws Exception {
        read();
        setOutcomes("a1", "silent");
        long startMs = nowMs.get();
        assertThat(read().endpoint()).isEqualTo("s1");
        assertThat(nowMs.get() - startMs).isEqualTo(TIMEOUT_MS);
        assertThat(calls).endsWith("close a1", "open a1", "GET /read/x?y=1 a1 ok");
    }

    @Test
    void closedReusedConnectionUsesNoRetryBudget() throws Exception {
        read();
        setOutcomes("a1", "closed");
        remainingRetries.set(0);
        assertThat(read().endpoint()).isEqualTo("s1");
    }

    @Test
    void failedReadIsRetriedAtAnotherEndpoint() throws Exception {
        setOutcomes("a1", "refused");
        assertThat(read().endpoint()).isEqualTo("s2");
        setOutcomes("a1", "not-run");
        assertThat(read().endpoint()).isEqualTo("s2");
    }

    @Test
    void exhaustedBudgetPreventsRetries() {
        remainingRetries.set(0);
        setOutcomes("a1", "closed");
        assertThatThrownBy(this::read)
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("no_endpoint");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.UNKNOWN);
                        });
        assertThat(calls).noneMatch(line -> line.contains("a2"));
    }

    @Test
    void failedConnectionsAreReportedAsNotExecuted() {
        setOutcomes("a1", "refused");
        setOutcomes("a2", "refused");
        assertThatThrownBy(this::read)
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO));
    }

    @Test
    void readIsRefusedIfTheExecutorIsFull() {
        DefaultReadService full =
                service(
                        task -> {
                            throw new RejectedExecutionException();
                        });
        assertThatThrownBy(() -> full.read(AccountId.of("a"), OrderFixtures.SERVICE, "x", 20_000))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().code()).isEqualTo("overloaded"));
    }

    @Test
    void unknownServiceIsNotFound() {
        assertThatThrownBy(() -> service.read(AccountId.of("a"), "other", "x", 20_000))
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().status()).isEqualTo(404));
    }
}

package io.sapphirestack.runtime.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sapphirestack.core.error.ExecutionState;
import io.sapphirestack.core.error.RefusedException;
import io.sapphirestack.core.id.AccountId;
import io.sapphirestack.core.routing.EndpointState;
import io.sapphirestack.runtime.endpoint.EndpointException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against reads that are retried too often, or that wait on silent connections. */
class DefaultReadServiceTests {

    private static final long TIMEOUT_MS = OrderFixtures.SPEC.readTimeoutMs();

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final List<EndpointState> endpoints =
            List.of(OrderFixtures.endpoint("s1", "a1"), OrderFixtures.endpoint("s2", "a2"));
    private final List<String> log = new ArrayList<>();
    private final Map<String, Deque<String>> plans = new HashMap<>();
    private final List<String> requested = new ArrayList<>();
    private final AtomicInteger budget = new AtomicInteger(10);
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
                ReadRetryBudget.of(requested::add, name -> budget.getAndDecrement() > 0),
                executor,
                WaitStrategy.blocking(nowMs::get),
                nowMs::get);
    }

    /** Sets what the next exchanges with an address do; afterwards they answer. */
    private void plan(String address, String... outcomes) {
        plans.put(address, new ArrayDeque<>(List.of(outcomes)));
    }

    private String next(String address) {
        Deque<String> plan = plans.getOrDefault(address, new ArrayDeque<>());
        return plan.isEmpty() ? "ok" : plan.removeFirst();
    }

    private PlainConnection open(String address, long connectTimeoutMs, long readTimeoutMs)
            throws EndpointException {
        log.add("open " + address);
        if ("refused".equals(plans.getOrDefault(address, new ArrayDeque<>()).peekFirst())) {
            next(address);
            throw new EndpointException("connect", address, "refused", false, false, null);
        }
        return new PlainConnection() {
            @Override
            public PlainAnswer send(
                    String method, String path, Map<String, String> headers, byte[] body)
                    throws EndpointException {
                String outcome = next(address);
                log.add(method + " " + path + " " + address + " " + outcome);
                if (outcome.equals("silent")) {
                    nowMs.addAndGet(readTimeoutMs);
                    throw new EndpointException("receive", address, "silent", true, true, null);
                }
                if (outcome.equals("closed")) {
                    throw new EndpointException("receive", address, "closed", true, false, null);
                }
                return new PlainAnswer(
                        200, "text/plain", new byte[0], outcome.equals("not-run"), true);
            }

            @Override
            public void close() {
                log.add("close " + address);
            }
        };
    }

    private ServiceResponse read() throws RefusedException {
        return service.read(
                AccountId.of("a"), OrderFixtures.SERVICE, "x?y=1", nowMs.get() + 10_000);
    }

    @Test
    void idleConnectionIsUsedAgain() throws Exception {
        read();
        read();
        assertThat(log)
                .containsExactly("open a1", "GET /read/x?y=1 a1 ok", "GET /read/x?y=1 a1 ok");
    }

    @Test
    void expiredIdleConnectionIsNotUsed() throws Exception {
        read();
        nowMs.addAndGet(5_000);
        read();
        assertThat(log).filteredOn("open a1"::equals).hasSize(2);
    }

    @Test
    void silentReusedConnectionCostsOneTimeoutAndIsReplacedByANewOne() throws Exception {
        read();
        plan("a1", "silent");
        long startMs = nowMs.get();
        assertThat(read().endpoint()).isEqualTo("s1");
        assertThat(nowMs.get() - startMs).isEqualTo(TIMEOUT_MS);
        assertThat(log).endsWith("close a1", "open a1", "GET /read/x?y=1 a1 ok");
    }

    @Test
    void closedReusedConnectionCostsNoBudget() throws Exception {
        read();
        plan("a1", "closed");
        budget.set(0);
        assertThat(read().endpoint()).isEqualTo("s1");
    }

    @Test
    void failedEndpointIsReplacedByAnother() throws Exception {
        plan("a1", "refused");
        assertThat(read().endpoint()).isEqualTo("s2");
        plan("a1", "not-run");
        assertThat(read().endpoint()).isEqualTo("s2");
    }

    @Test
    void emptyBudgetEndsTheRetries() {
        budget.set(0);
        plan("a1", "closed");
        assertThatThrownBy(this::read)
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> {
                            assertThat(e.refusal().code()).isEqualTo("no_endpoint");
                            assertThat(e.refusal().executed()).isEqualTo(ExecutionState.UNKNOWN);
                        });
        assertThat(log).noneMatch(line -> line.contains("a2"));
    }

    @Test
    void connectFailuresEverywhereMeanThatNothingRan() {
        plan("a1", "refused");
        plan("a2", "refused");
        assertThatThrownBy(this::read)
                .isInstanceOfSatisfying(
                        RefusedException.class,
                        e -> assertThat(e.refusal().executed()).isEqualTo(ExecutionState.NO));
    }

    @Test
    void fullExecutorRefusesInsteadOfQueueing() {
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

package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.limit.NamedRateLimits;
import io.sapphirestack.core.limit.RateLimitTable;
import io.sapphirestack.core.limit.RetryUsage;
import io.sapphirestack.core.membership.EndpointLoad;
import io.sapphirestack.core.membership.MergedEndpointState;
import io.sapphirestack.core.routing.EndpointState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays the requests of a fleet to endpoints that name a limit, and guards against instances that
 * together send more than it allows, and against limits that are not used while callers are
 * refused.
 */
class EndpointRateLimiterLoadTests {

    private static final String SERVICE = "ledger";
    private static final int ENDPOINTS = 4;
    private static final long DAY_MS = 60_000;
    private static final long STEP_MS = 5;

    /** Delay after which an instance knows the requests of the others. */
    private static final long DISSEMINATION_MS = 400;

    private static final long EXCHANGE_MS = 100;
    private static final long USAGE_WINDOW_MS = 10_000;

    /** Window in which the requests to one endpoint are counted, in milliseconds. */
    private static final long COUNT_WINDOW_MS = 4_000;

    private long nowMs;
    private final Random random = new Random(Long.getLong("sapphire.load.seed", 7));
    private final List<Instance> instances = new ArrayList<>();
    private final List<EndpointState> endpoints = new ArrayList<>();
    private final List<Deque<Long>> sentAtMs = new ArrayList<>();
    private final Deque<List<RetryUsage>> snapshots = new ArrayDeque<>();
    private int served;
    private int refused;

    /** Instance that knows its own requests at once and those of the others after a delay. */
    private final class Instance {
        private final FleetRetryBudget usage;
        private final EndpointRateLimiter limiter;

        Instance(RateLimitTable limits, int instanceCount) {
            usage =
                    new FleetRetryBudget(
                            new FleetRetryBudget.Settings(0.8, 150, USAGE_WINDOW_MS),
                            () -> instanceCount,
                            service -> Optional.ofNullable(usageOfOthers),
                            () -> nowMs);
            limiter =
                    new EndpointRateLimiter(
                            new NamedRateLimits(() -> nowMs),
                            () -> limits,
                            usage::requestShare,
                            random::nextDouble,
                            () -> nowMs);
        }

        private RetryUsage usageOfOthers;

        private RetryUsage usageNow() {
            return usage.localUsage().getOrDefault(SERVICE, new RetryUsage(1, 0, 0));
        }

        private void request() {
            usage.recordRequest(SERVICE);
            List<EndpointState> admissible = limiter.admissible(endpoints);
            if (admissible.isEmpty()) {
                refused++;
                assertThat(limiter.retryAfterMs(endpoints))
                        .isBetween(
                                EndpointRateLimiter.MIN_RETRY_AFTER_MS,
                                EndpointRateLimiter.SLOT_MS);
                return;
            }
            EndpointState chosen = admissible.get(random.nextInt(admissible.size()));
            assertThat(limiter.tryAcquire(chosen)).isTrue();
            served++;
            sentAtMs.get(endpoints.indexOf(chosen)).add(nowMs);
        }
    }

    /** Publishes the usage of each instance as it was some time ago. */
    private void disseminate() {
        snapshots.add(instances.stream().map(Instance::usageNow).toList());
        if (snapshots.size() <= DISSEMINATION_MS / EXCHANGE_MS) {
            return;
        }
        List<RetryUsage> known = snapshots.removeFirst();
        RetryUsage sum = known.stream().reduce(RetryUsage.NONE, RetryUsage::plus);
        for (int i = 0; i < instances.size(); i++) {
            RetryUsage own = known.get(i);
            instances.get(i).usageOfOthers =
                    new RetryUsage(
                            sum.instances() - 1,
                            sum.requests() - own.requests(),
                            sum.retries() - own.retries());
        }
    }

    private void start(int instanceCount, double limitPerS) {
        Map<Integer, Integer> limits = new HashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            EndpointState endpoint =
                    new EndpointState(
                            EndpointId.of("e" + i),
                            SERVICE,
                            "127.0.0.1:" + (i + 1),
                            "z1",
                            1,
                            Set.of(),
                            new EndpointLoad(0, 0, 6, 0),
                            0);
            endpoints.add(endpoint);
            sentAtMs.add(new ArrayDeque<>());
            limits.put(MergedEndpointState.handleOf(endpoint.id(), 1), (int) (limitPerS * 1_000));
        }
        for (int i = 0; i < instanceCount; i++) {
            instances.add(new Instance(new RateLimitTable(limits), instanceCount));
        }
    }

    /** Sends requests at a rate; of two requests one comes to the first tenth of the instances. */
    private void play(double requestsPerS, long durationMs, boolean uneven) {
        long endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            nowMs += STEP_MS;
            if (nowMs % EXCHANGE_MS == 0) {
                disseminate();
            }
            double expected = requestsPerS * STEP_MS / 1_000;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int i = 0; i < count; i++) {
                int range =
                        uneven && random.nextBoolean()
                                ? Math.max(1, instances.size() / 10)
                                : instances.size();
                instances.get(random.nextInt(range)).request();
            }
        }
    }

    private void assertLimitKept(double limitPerS) {
        double allowed = 1.5 * limitPerS * COUNT_WINDOW_MS / 1_000 + 5;
        assertThat((double) sentAtMs.stream().mapToInt(this::mostInWindow).max().orElseThrow())
                .isLessThanOrEqualTo(allowed);
    }

    private int mostInWindow(Deque<Long> sent) {
        Deque<Long> window = new ArrayDeque<>();
        int most = 0;
        for (long atMs : sent) {
            window.add(atMs);
            while (window.peekFirst() <= atMs - COUNT_WINDOW_MS) {
                window.removeFirst();
            }
            most = Math.max(most, window.size());
        }
        return most;
    }

    @ParameterizedTest
    @CsvSource({
        "1, 5, 60, false", "3, 5, 60, false", "10, 7, 63, false", "10, 7, 63, true",
        "10, 1, 40, false", "30, 3.5, 63, true", "100, 3.5, 88, false", "100, 20, 300, true",
        "300, 3.5, 200, false", "300, 10, 300, true",
    })
    void limitIsKeptByTheWholeFleetAndUsed(
            int instanceCount, double limitPerS, double requestsPerS, boolean uneven) {
        start(instanceCount, limitPerS);
        play(requestsPerS, DAY_MS, uneven);
        assertLimitKept(limitPerS);
        double allowed = ENDPOINTS * limitPerS * DAY_MS / 1_000;
        assertThat((double) served).isGreaterThan(0.6 * allowed);
    }

    @ParameterizedTest
    @CsvSource({"10, 5", "100, 3.5", "300, 2"})
    void burstAfterAQuietTimeDoesNotExceedTheLimit(int instanceCount, double limitPerS) {
        start(instanceCount, limitPerS);
        play(2, DAY_MS / 2, false);
        play(400, DAY_MS / 6, false);
        assertLimitKept(limitPerS);
    }

    @Test
    void loadBelowTheLimitIsAlmostAlwaysServed() {
        start(10, 20);
        play(40, DAY_MS, false);
        assertThat(refused).isLessThan(served / 50);
    }
}

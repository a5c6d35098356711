package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.RetryUsage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries of many instances that together exceed the budget of the fleet. */
class FleetRetryBudgetTests {

    @ParameterizedTest
    @CsvSource({"1, 100, 180", "10, 100, 90", "10, 0, 10"})
    void retriesStayWithinTheShareOfTheInstance(int instances, int requests, int allowed) {
        AtomicLong nowMs = new AtomicLong();
        FleetRetryBudget budget =
                new FleetRetryBudget(
                        new FleetRetryBudget.Settings(0.8, 100, 10_000),
                        () -> instances,
                        nowMs::get);
        for (int i = 0; i < requests; i++) {
            budget.recordRequest("s");
        }
        int made = 0;
        while (budget.tryRetry("s")) {
            made++;
        }
        assertThat(made).isEqualTo(allowed);
        assertThat(budget.remaining("s")).isZero();
        nowMs.set(10_000);
        assertThat(budget.remaining("s")).isEqualTo(100 / instances);
    }

    private static final double RATIO = 0.8;
    private static final double RESERVE = 150;
    private static final int FLEET = 81;

    /** Instance of a fleet that learns the usage of the others with a delay. */
    private static final class Instance {
        private final FleetRetryBudget budget;
        private Optional<RetryUsage> othersUsage = Optional.empty();

        Instance(AtomicLong nowMs) {
            budget =
                    new FleetRetryBudget(
                            new FleetRetryBudget.Settings(RATIO, RESERVE, 10_000),
                            () -> FLEET,
                            service -> othersUsage,
                            nowMs::get);
        }

        RetryUsage usage() {
            return budget.localUsage().getOrDefault("s", new RetryUsage(1, 0, 0));
        }
    }

    private static List<Instance> fleet(AtomicLong nowMs, int requestsEach) {
        List<Instance> fleet = new ArrayList<>();
        for (int i = 0; i < FLEET; i++) {
            Instance instance = new Instance(nowMs);
            for (int k = 0; k < requestsEach; k++) {
                instance.budget.recordRequest("s");
            }
            fleet.add(instance);
        }
        return fleet;
    }

    private static void disseminateUsage(List<Instance> fleet) {
        int requests = 0;
        int retries = 0;
        for (Instance instance : fleet) {
            requests += instance.usage().requests();
            retries += instance.usage().retries();
        }
        for (Instance instance : fleet) {
            instance.othersUsage =
                    Optional.of(
                            new RetryUsage(
                                    FLEET - 1,
                                    requests - instance.usage().requests(),
                                    retries - instance.usage().retries()));
        }
    }

    @Test
    void instanceUsesBudgetThatOthersLeave() {
        List<Instance> fleet = fleet(new AtomicLong(), 2);
        disseminateUsage(fleet);
        FleetRetryBudget budget = fleet.get(0).budget;
        int made = 0;
        while (made < 20 && budget.tryRetry("s")) {
            made++;
        }
        // Its own share is about 3.4, less than the crash of one engine with a few streams needs.
        assertThat(made).isEqualTo(20);
    }

    @ParameterizedTest
    @CsvSource({"1, 5", "2, 10", "3, 40"})
    void retryStormOfAllInstancesStaysWithinTheFleetBudget(long seed, int attemptsPerRound) {
        SplittableRandom random = new SplittableRandom(seed);
        AtomicLong nowMs = new AtomicLong();
        List<Instance> fleet = fleet(nowMs, 26);
        double fleetBudget = RATIO * 26 * FLEET + RESERVE;
        int made = 0;
        for (int round = 0; round < 200; round++) {
            disseminateUsage(fleet);
            for (int i = 0; i < attemptsPerRound; i++) {
                made += fleet.get(random.nextInt(FLEET)).budget.tryRetry("s") ? 1 : 0;
            }
        }
        assertThat(made).isLessThanOrEqualTo((int) fleetBudget);
    }

    @Test
    void instanceWithoutReportsFromOthersStaysWithinItsShare() {
        Instance alone = fleet(new AtomicLong(), 10).get(0);
        alone.othersUsage = Optional.of(new RetryUsage(0, 0, 0));
        int made = 0;
        while (alone.budget.tryRetry("s")) {
            made++;
        }
        assertThat(made).isLessThanOrEqualTo((int) (RATIO * 10 + RESERVE / FLEET));
    }
}

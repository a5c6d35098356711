package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against repeats of many instances that together exceed the budget of the fleet. */
class RepeatBudgetTests {

    @ParameterizedTest
    @CsvSource({"1, 100, 180", "10, 100, 90", "10, 0, 10"})
    void repeatsStayWithinTheShare(int instances, int requests, int allowed) {
        AtomicLong nowMs = new AtomicLong();
        RepeatBudget budget =
                new RepeatBudget(
                        new RepeatBudget.Settings(0.8, 100, 10_000), () -> instances, nowMs::get);
        for (int i = 0; i < requests; i++) {
            budget.recordRequest("s");
        }
        int made = 0;
        while (budget.tryRepeat("s")) {
            made++;
        }
        assertThat(made).isEqualTo(allowed);
        assertThat(budget.left("s")).isZero();
        nowMs.set(10_000);
        assertThat(budget.left("s")).isEqualTo(100 / instances);
    }
}

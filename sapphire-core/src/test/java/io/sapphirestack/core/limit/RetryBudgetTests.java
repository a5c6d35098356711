package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against retry storms that overload a failing service. */
class RetryBudgetTests {

    @Property(seed = "7711", tries = 200)
    void retriesNeverExceedATenthOfTheRequestsPlusTheReserve(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget();
        int requests = 0;
        int retries = 0;
        for (int i = 0; i < 2_000; i++) {
            if (random.nextInt(3) == 0) {
                budget.recordRequest("s");
                requests++;
            } else if (budget.tryRetry("s")) {
                retries++;
            }
            assertThat(retries * 10)
                    .isLessThanOrEqualTo(requests + RetryBudget.RESERVED_RETRIES * 10);
        }
        assertThat(retries).isGreaterThanOrEqualTo(requests / 10);
    }

    @Test
    void savedRetriesAreLimited() {
        RetryBudget budget = new RetryBudget();
        for (int i = 0; i < 100_000; i++) {
            budget.recordRequest("s");
        }
        int retries = 0;
        while (budget.tryRetry("s")) {
            retries++;
        }
        assertThat(retries).isEqualTo(RetryBudget.MAX_SAVED_RETRIES);
    }

    @Test
    void servicesHaveSeparateBudgets() {
        RetryBudget budget = new RetryBudget();
        while (budget.tryRetry("failing")) {
            // Uses up the budget.
        }
        assertThat(budget.tryRetry("healthy")).isTrue();
    }
}

package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against retry storms that overload a failing service. */
class LocalRetryBudgetTests {

    @Property(seed = "7711", tries = 200)
    void retriesNeverExceedATenthOfTheRequestsPlusTheReserve(@ForAll long seed) {
        Random random = new Random(seed);
        LocalRetryBudget budget = new LocalRetryBudget();
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
                    .isLessThanOrEqualTo(requests + LocalRetryBudget.RESERVED_RETRIES * 10);
        }
        assertThat(retries).isGreaterThanOrEqualTo(requests / 10);
    }

    @Test
    void savedRetriesAreLimited() {
        LocalRetryBudget budget = new LocalRetryBudget();
        for (int i = 0; i < 100_000; i++) {
            budget.recordRequest("s");
        }
        int retries = 0;
        while (budget.tryRetry("s")) {
            retries++;
        }
        assertThat(retries).isEqualTo(LocalRetryBudget.MAX_SAVED_RETRIES);
    }

    @Test
    void servicesHaveSeparateBudgets() {
        LocalRetryBudget budget = new LocalRetryBudget();
        while (budget.tryRetry("failing")) {
            // Uses up the budget.
        }
        assertThat(budget.tryRetry("healthy")).isTrue();
    }
}

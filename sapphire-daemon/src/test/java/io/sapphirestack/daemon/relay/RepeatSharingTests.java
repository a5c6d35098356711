package io.sapphirestack.daemon.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.UsageTable;
import io.sapphirestack.core.relay.RepeatBudget;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a budget that is shared under the wrong service or in the wrong unit. */
class RepeatSharingTests {

    private final AtomicReference<UsageTable> others = new AtomicReference<>(UsageTable.EMPTY);
    private final RepeatSharing sharing = new RepeatSharing(10_000, others::get);

    @ParameterizedTest
    @ValueSource(strings = {"scribe", "a service: with spaces", ""})
    void sumOfTheOthersComesBackAsItsUse(String service) {
        Map<Integer, AccountUsage> sum = new HashMap<>();
        for (int repeats : new int[] {3, 4}) {
            sharing.table(Map.of(service, new RepeatBudget.Use(1, 20, repeats)))
                    .byHandle()
                    .forEach((handle, usage) -> sum.merge(handle, usage, AccountUsage::plus));
        }
        others.set(new UsageTable(sum));
        assertThat(sharing.others(service)).contains(new RepeatBudget.Use(2, 40, 7));
        assertThat(sharing.others("another")).isEmpty();
    }

    @Test
    void nothingIsKnownBeforeOthersAreHeard() {
        assertThat(sharing.others("scribe")).isEmpty();
    }
}

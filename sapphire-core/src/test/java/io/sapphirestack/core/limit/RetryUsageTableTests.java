package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against attributing the usage of a retry budget to the wrong service. */
class RetryUsageTableTests {

    private static final RetryUsage USAGE = new RetryUsage(1, 20, 3);

    @ParameterizedTest
    @ValueSource(strings = {"scribe", "a service: with spaces", ""})
    void usageIsFoundOnlyByItsServiceName(String service) {
        RetryUsageTable table = RetryUsageTable.ofServices(Map.of(service, USAGE));
        assertThat(table.of(service)).contains(USAGE);
        assertThat(table.of("another")).isEmpty();
    }

    @Test
    void usageIsSummedOverInstances() {
        assertThat(USAGE.plus(new RetryUsage(2, 5, 1))).isEqualTo(new RetryUsage(3, 25, 4));
        assertThat(USAGE.plus(RetryUsage.NONE)).isEqualTo(USAGE);
    }
}

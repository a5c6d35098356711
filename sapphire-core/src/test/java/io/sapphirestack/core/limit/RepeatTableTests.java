package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against attributing the usage of a retry budget to the wrong service. */
class RepeatTableTests {

    private static final RepeatUse USAGE = new RepeatUse(1, 20, 3);

    @ParameterizedTest
    @ValueSource(strings = {"scribe", "a service: with spaces", ""})
    void usageIsFoundOnlyByItsServiceName(String service) {
        RepeatTable table = RepeatTable.ofServices(Map.of(service, USAGE));
        assertThat(table.of(service)).contains(USAGE);
        assertThat(table.of("another")).isEmpty();
    }

    @Test
    void usageIsSummedOverInstances() {
        assertThat(USAGE.plus(new RepeatUse(2, 5, 1))).isEqualTo(new RepeatUse(3, 25, 4));
        assertThat(USAGE.plus(RepeatUse.NONE)).isEqualTo(USAGE);
    }
}

package io.sapphirestack.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a budget that is shared under the wrong service. */
class RepeatTableTests {

    private static final RepeatUse USE = new RepeatUse(1, 20, 3);

    @ParameterizedTest
    @ValueSource(strings = {"scribe", "a service: with spaces", ""})
    void useIsFoundUnderTheNameOfItsServiceOnly(String service) {
        RepeatTable table = RepeatTable.ofServices(Map.of(service, USE));
        assertThat(table.of(service)).contains(USE);
        assertThat(table.of("another")).isEmpty();
    }

    @Test
    void useAddsUpOverInstances() {
        assertThat(USE.plus(new RepeatUse(2, 5, 1))).isEqualTo(new RepeatUse(3, 25, 4));
        assertThat(USE.plus(RepeatUse.NONE)).isEqualTo(USE);
    }
}

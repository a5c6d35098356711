package io.sapphirestack.standins.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a weight store that exceeds its rate limit or reports too low a usage. */
class RateMeterTests {

    @Test
    void concurrentFetchesShareTheRate() {
        RateMeter meter = new RateMeter(1_000);
        assertThat(meter.reserve(500, 0)).isZero();
        assertThat(meter.reserve(500, 0)).isEqualTo(500);
        assertThat(meter.reserve(500, 2_000)).isZero();
    }

    @Test
    void usageReportsTheMaximumRateAndConcurrency() {
        RateMeter meter = new RateMeter(1_000);
        meter.beginFetch();
        meter.beginFetch();
        meter.recordSent(300, 0);
        meter.recordSent(300, 900);
        meter.endFetch();
        meter.recordSent(300, 1_500);
        assertThat(meter.usage()).isEqualTo(new RateMeter.Usage(600, 2, 1, 900));
    }
}

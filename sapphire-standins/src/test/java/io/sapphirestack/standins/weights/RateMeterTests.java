package io.sapphirestack.standins.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a store that does not limit its rate or reports too little use. */
class RateMeterTests {

    @Test
    void concurrentFetchesShareTheRate() {
        RateMeter meter = new RateMeter(1_000);
        assertThat(meter.book(500, 0)).isZero();
        assertThat(meter.book(500, 0)).isEqualTo(500);
        assertThat(meter.book(500, 2_000)).isZero();
    }

    @Test
    void usageKeepsTheHighestValues() {
        RateMeter meter = new RateMeter(1_000);
        meter.begin();
        meter.begin();
        meter.sent(300, 0);
        meter.sent(300, 900);
        meter.end();
        meter.sent(300, 1_500);
        assertThat(meter.usage()).isEqualTo(new RateMeter.Usage(600, 2, 1, 900));
    }
}

package io.sapphirestack.core.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.sapphirestack.core.id.EndpointId;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against endpoints that fail to respond but are used as often as healthy ones. */
class EndpointHealthTests {

    private static final EndpointId ID = EndpointId.of("e1");

    private final AtomicLong nowMs = new AtomicLong(50_000);
    private final EndpointHealth health = new EndpointHealth(nowMs::get);

    @Test
    void missingResponseCountsAsErrorAfterNextSuccess() {
        health.recordUnreachable(ID);
        health.recordResponse(ID, false);
        assertThat(health.isSuspect(ID)).isFalse();
        assertThat(health.errorRate(ID)).isGreaterThan(0.1);
    }

    @Test
    void errorRateDecaysSoThatAvoidedEndpointIsUsedAgain() {
        health.recordResponse(ID, true);
        double rate = health.errorRate(ID);
        nowMs.addAndGet((long) EndpointHealth.ERROR_HALF_LIFE_MS);
        assertThat(health.errorRate(ID)).isCloseTo(rate / 2, within(1e-9));
        nowMs.addAndGet(10 * (long) EndpointHealth.ERROR_HALF_LIFE_MS);
        assertThat(health.errorRate(ID)).isLessThan(0.001);
    }

    @ParameterizedTest
    @ValueSource(longs = {50_000, 0, -9_000_000_000L})
    void unknownEndpointHasNoErrorsAtAnyClockValue(long clockMs) {
        nowMs.set(clockMs);
        assertThat(health.errorRate(ID)).isZero();
        assertThat(health.isSuspect(ID)).isFalse();
    }
}

package io.sapphirestack.runtime.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.time.MillisClock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against tests of suspected crashes that end with the first one that fails. */
class CrashProberTests {

    @Test
    void testsGoOnAfterOneThatFailed() throws Exception {
        CountDownLatch tests = new CountDownLatch(2);
        MillisClock clock = MillisClock.monotonic();
        try (CrashProber prober =
                new CrashProber(
                        suspected -> {
                            tests.countDown();
                            throw new IllegalStateException("simulated");
                        },
                        clock)) {
            prober.add(suspicion(clock));
            prober.add(suspicion(clock));

            assertThat(tests.await(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    private static SuspectedCrash suspicion(MillisClock clock) {
        long nowMs = clock.nowMs();
        return new SuspectedCrash(new RequestFingerprint(1), null, null, nowMs, nowMs);
    }
}

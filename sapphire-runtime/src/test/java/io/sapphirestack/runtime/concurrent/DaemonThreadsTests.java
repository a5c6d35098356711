package io.sapphirestack.runtime.concurrent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a periodic task that is never run again after one failed run, which is what an
 * unguarded scheduler does.
 */
class DaemonThreadsTests {

    private static final long TIMEOUT_S = 20;

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("simulated"),
                new OutOfMemoryError("simulated"),
                new StackOverflowError("simulated"));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void periodicTasksRunAgainAfterAFailure(Throwable failure) throws Exception {
        ScheduledExecutorService scheduler = DaemonThreads.scheduler("test", 1);
        CountDownLatch delayedRuns = new CountDownLatch(3);
        CountDownLatch ratedRuns = new CountDownLatch(3);
        try {
            scheduler.scheduleWithFixedDelay(
                    () -> countAndThrow(delayedRuns, failure), 0, 5, TimeUnit.MILLISECONDS);
            scheduler.scheduleAtFixedRate(
                    () -> countAndThrow(ratedRuns, failure), 0, 5, TimeUnit.MILLISECONDS);

            assertThat(delayedRuns.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            assertThat(ratedRuns.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        } finally {
            scheduler.shutdownNow();
        }
    }

    private static void countAndThrow(CountDownLatch runs, Throwable failure) {
        runs.countDown();
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }
}

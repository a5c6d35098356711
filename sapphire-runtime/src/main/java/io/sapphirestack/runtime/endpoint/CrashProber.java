package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.RestartingThread;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Tests for a second time, on a thread of its own, whether endpoints of failed attempts have
 * crashed: the listener of a process that crashes may outlive its connections by some milliseconds,
 * and a caller does not wait for the test. Thread-safe.
 */
final class CrashProber implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(CrashProber.class);

    /** Time from a failure to its test, in milliseconds. */
    private static final long PROBE_AFTER_MS = 200;

    /** Longest wait for a suspicion after which the thread checks whether it is closed. */
    private static final long CLOSE_CHECK_MS = 1_000;

    /** Maximum number of waiting tests; further ones are dropped. */
    private static final int MAX_PENDING = 256;

    private final Predicate<SuspectedCrash> test;
    private final MillisClock clock;
    private final BlockingQueue<SuspectedCrash> pending = new LinkedBlockingQueue<>(MAX_PENDING);
    private final RestartingThread thread =
            new RestartingThread("crash-prober", this::run, CrashProber::logFailure);

    /**
     * Creates a prober; its thread starts with the first suspicion.
     *
     * @param test tests an endpoint and records its crash
     * @param clock monotonic clock
     */
    CrashProber(Predicate<SuspectedCrash> test, MillisClock clock) {
        this.test = Objects.requireNonNull(test, "test");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Tests a suspicion later. */
    void add(SuspectedCrash suspected) {
        if (pending.offer(suspected)) {
            thread.start();
        }
    }

    /** Tests the waiting suspicions of requests with a fingerprint now. */
    void testNow(RequestFingerprint request) {
        for (SuspectedCrash suspected : pending) {
            if (suspected.request().equals(request) && pending.remove(suspected)) {
                test.test(suspected);
            }
        }
    }

    private static void logFailure(Throwable failure, long restartInMs) {
        LOG.error(
                "SAP1935",
                failure,
                "The test of a suspected crash failed; the others go on after a delay",
                "delayMs",
                restartInMs);
    }

    private void run() throws InterruptedException {
        while (!thread.isClosing()) {
            SuspectedCrash next = pending.poll(CLOSE_CHECK_MS, TimeUnit.MILLISECONDS);
            if (next == null) {
                continue;
            }
            long waitMs = next.failedAtMs() + PROBE_AFTER_MS - clock.nowMs();
            if (waitMs <= 0) {
                test.test(next);
            } else if (pending.offer(next)) {
                Thread.sleep(waitMs);
            }
        }
    }

    @Override
    public void close() {
        thread.close();
    }
}

package io.sapphirestack.runtime.endpoint;

import io.sapphirestack.core.quarantine.RequestFingerprint;
import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import io.sapphirestack.runtime.metrics.EventLog;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.function.Predicate;

/**
 * Tests for a second time, on a thread of its own, whether endpoints of failed attempts have
 * crashed: the listener of a process that crashes may outlive its connections by some milliseconds,
 * and a caller does not wait for the test. Thread-safe.
 */
final class CrashProber implements AutoCloseable {

    private static final EventLog LOG = EventLog.of(CrashProber.class);
    private static final ThreadFactory THREADS = DaemonThreads.namedFactory("crash-prober");

    /** Time from a failure to its test, in milliseconds. */
    private static final long PROBE_AFTER_MS = 200;

    /** Maximum number of waiting tests; further ones are dropped. */
    private static final int MAX_PENDING = 256;

    private final Predicate<SuspectedCrash> test;
    private final MillisClock clock;
    private final BlockingQueue<SuspectedCrash> pending = new LinkedBlockingQueue<>(MAX_PENDING);
    private Thread thread;

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
            startThread();
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

    private synchronized void startThread() {
        if (thread == null) {
            thread = THREADS.newThread(this::run);
            thread.start();
        }
    }

    private void run() {
        try {
            while (true) {
                SuspectedCrash next = pending.take();
                long waitMs = next.failedAtMs() + PROBE_AFTER_MS - clock.nowMs();
                if (waitMs <= 0) {
                    test.test(next);
                } else if (pending.offer(next)) {
                    Thread.sleep(waitMs);
                }
            }
        } catch (InterruptedException e) {
            LOG.debug("SAP1935", "The tests of suspected crashes end with the relay");
        }
    }

    @Override
    public synchronized void close() {
        if (thread != null) {
            thread.interrupt();
        }
    }
}

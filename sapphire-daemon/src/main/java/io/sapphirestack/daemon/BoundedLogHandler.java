package io.sapphirestack.daemon;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.DaemonThreads;
import java.io.PrintStream;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own, so that no request waits for the output. Lines beyond
 * the bound are dropped and counted.
 */
final class BoundedLogHandler extends Handler {

    /** Lines that may be written in one second; a busy instance makes about a tenth of it. */
    static final int MAX_LINES_PER_S = 500;

    private static final int QUEUE_LINES = 1_000;
    private static final long FLUSH_LIMIT_MS = 500;
    private static final long SECOND_MS = 1_000;

    private final PrintStream out;
    private final MillisClock clock;
    private final LongConsumer droppedReport;
    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong unwritten = new AtomicLong();
    private long secondSinceMs;
    private int linesInSecond;

    /**
     * Creates a handler and starts its thread.
     *
     * @param out where the lines go
     * @param clock monotonic clock
     * @param droppedReport takes the number of lines that were dropped since its last call
     */
    BoundedLogHandler(PrintStream out, MillisClock clock, LongConsumer droppedReport) {
        this.droppedReport = Objects.requireNonNull(droppedReport, "droppedReport");
        this.out = Objects.requireNonNull(out, "out");
        this.clock = Objects.requireNonNull(clock, "clock");
        setFormatter(new LogLineFormatter());
        DaemonThreads.namedFactory("log").newThread(this::write).start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        unwritten.incrementAndGet();
        if (!isWithinRate() || !queue.offer(record)) {
            unwritten.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean isWithinRate() {
        long nowMs = clock.nowMs();
        if (nowMs - secondSinceMs >= SECOND_MS) {
            secondSinceMs = nowMs;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond <= MAX_LINES_PER_S;
    }

    private void write() {
        try {
            while (true) {
                LogRecord record = queue.take();
                out.print(getFormatter().format(record));
                out.flush();
                unwritten.decrementAndGet();
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    droppedReport.accept(lost);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for a short time until everything is written. */
    @Override
    public void flush() {
        long endMs = clock.nowMs() + FLUSH_LIMIT_MS;
        while (unwritten.get() > 0 && clock.nowMs() < endMs) {
            try {
                TimeUnit.MILLISECONDS.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        flush();
    }
}

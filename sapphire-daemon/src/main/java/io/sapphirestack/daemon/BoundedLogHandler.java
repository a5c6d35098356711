package io.sapphirestack.daemon;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.RestartingThread;
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
 * Writes log lines on a separate thread, so that no request waits for the output. Lines that exceed
 * the rate limit or the queue are dropped and counted. Thread-safe.
 */
final class BoundedLogHandler extends Handler {

    /** Lines accepted per second; a busy instance logs about a tenth of it. */
    static final int MAX_LINES_PER_S = 500;

    private static final int MAX_QUEUED_LINES = 1_000;
    private static final long FLUSH_TIMEOUT_MS = 500;
    private static final long RATE_WINDOW_MS = 1_000;

    private final PrintStream out;
    private final MillisClock clock;
    private final LongConsumer droppedLinesListener;
    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final AtomicLong unwrittenLines = new AtomicLong();
    private long windowStartMs;
    private int linesInWindow;

    /**
     * Creates a handler and starts its thread.
     *
     * @param out stream that the lines are written to
     * @param clock monotonic clock
     * @param droppedLinesListener receives the number of lines dropped since its last call
     */
    BoundedLogHandler(PrintStream out, MillisClock clock, LongConsumer droppedLinesListener) {
        this.droppedLinesListener =
                Objects.requireNonNull(droppedLinesListener, "droppedLinesListener");
        this.out = Objects.requireNonNull(out, "out");
        this.clock = Objects.requireNonNull(clock, "clock");
        setFormatter(new LogLineFormatter());
        // The failure of a line cannot be logged; the line counts as dropped.
        new RestartingThread("log", this::writeQueuedLines, (failure, restartInMs) -> {}).start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        unwrittenLines.incrementAndGet();
        if (!isWithinRate() || !queue.offer(record)) {
            unwrittenLines.decrementAndGet();
            droppedLines.incrementAndGet();
        }
    }

    private synchronized boolean isWithinRate() {
        long nowMs = clock.nowMs();
        if (nowMs - windowStartMs >= RATE_WINDOW_MS) {
            windowStartMs = nowMs;
            linesInWindow = 0;
        }
        linesInWindow++;
        return linesInWindow <= MAX_LINES_PER_S;
    }

    private void writeQueuedLines() throws InterruptedException {
        while (true) {
            write(queue.take());
            long droppedCount = droppedLines.getAndSet(0);
            if (droppedCount > 0) {
                droppedLinesListener.accept(droppedCount);
            }
        }
    }

    private void write(LogRecord record) {
        boolean written = false;
        try {
            out.print(getFormatter().format(record));
            out.flush();
            written = true;
        } finally {
            unwrittenLines.decrementAndGet();
            if (!written) {
                droppedLines.incrementAndGet();
            }
        }
    }

    /** Waits at most 500 ms until all queued lines are written. */
    @Override
    public void flush() {
        long deadlineMs = clock.nowMs() + FLUSH_TIMEOUT_MS;
        while (unwrittenLines.get() > 0 && clock.nowMs() < deadlineMs) {
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

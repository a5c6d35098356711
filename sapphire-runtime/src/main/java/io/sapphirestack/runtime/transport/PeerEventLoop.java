package io.sapphirestack.runtime.transport;

import io.sapphirestack.core.time.MillisClock;
import io.sapphirestack.runtime.concurrent.WorkerPools;
import io.sapphirestack.runtime.metrics.EventLog;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;

/**
 * Event loop of the connections to other instances: one thread that does all reads and writes, and
 * a thread pool that handles requests and replies. Handlers never run on the thread of the loop, so
 * a blocking handler does not delay the connections.
 *
 * <p>Thread-safe, except for the methods that must be called on the thread of the loop.
 */
public final class PeerEventLoop implements Closeable {

    private static final EventLog LOG = EventLog.of(PeerEventLoop.class);
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int MAX_HANDLER_THREADS = 64;
    private static final long CLOSE_WAIT_MS = 2_000;

    private final LongAdder transferredBytes = new LongAdder();
    private final MillisClock clock = MillisClock.monotonic();
    private final Selector selector;
    private final Thread thread;
    private final ThreadPoolExecutor handlerExecutor;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean wakeUpPending = new AtomicBoolean();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Set<PeerChannel> toFlush = new LinkedHashSet<>();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private volatile boolean closed;
    private volatile boolean terminated;

    /**
     * Creates the loop and starts its thread.
     *
     * @param name prefix of the names of the loop's threads
     */
    public PeerEventLoop(String name) {
        try {
            this.selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a selector", e);
        }
        this.handlerExecutor = WorkerPools.createQueueing(name + "-handler", MAX_HANDLER_THREADS);
        this.thread = new Thread(this::run, name + "-io");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the number of bytes written to and read from other instances so far. */
    public long transferredBytes() {
        return transferredBytes.sum();
    }

    final void countBytes(long count) {
        transferredBytes.add(count);
    }

    /** Handles the events of one channel, on the thread of the loop. */
    interface ChannelEventHandler {
        void onReady(SelectionKey key) throws IOException;

        void onFailure(Exception cause);
    }

    long nowMs() {
        return clock.nowMs();
    }

    Executor handlerExecutor() {
        return handlerExecutor;
    }

    /**
     * Runs a task on the thread of the loop. After {@link #close()} it runs on the calling thread,
     * where every use of a channel fails, so that every call still completes.
     */
    void execute(Runnable task) {
        tasks.add(task);
        if (terminated) {
            runTasks();
            return;
        }
        if (Thread.currentThread() != thread && wakeUpPending.compareAndSet(false, true)) {
            selector.wakeup();
        }
    }

    /** Schedules a task at a time on the clock of the loop; only on the thread of the loop. */
    void schedule(long atMs, Runnable task) {
        timers.add(new Timer(atMs, task));
    }

    /** Registers a channel; only on the thread of the loop. */
    SelectionKey register(SelectableChannel channel, int operations, ChannelEventHandler handler)
            throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, operations, handler);
    }

    /**
     * Flushes a channel once at the end of the current iteration, with all frames queued by then;
     * only on the thread of the loop.
     */
    void flushLater(PeerChannel channel) {
        toFlush.add(channel);
    }

    /**
     * Returns the cleared buffer that all reads and writes share; only on the thread of the loop.
     */
    ByteBuffer buffer() {
        buffer.clear();
        return buffer;
    }

    private void run() {
        while (!closed) {
            try {
                runIteration();
            } catch (IOException | RuntimeException | Error e) {
                logFailure(e);
            }
        }
        selector.keys()
                .forEach(key -> ((ChannelEventHandler) key.attachment()).onFailure(closedCause()));
        try {
            selector.close();
        } catch (IOException e) {
            logFailure(e);
        }
        terminated = true;
        runTasks();
    }

    private void runIteration() throws IOException {
        if (tasks.isEmpty() && toFlush.isEmpty()) {
            selector.select(selectTimeoutMs());
        } else {
            selector.selectNow();
        }
        wakeUpPending.set(false);
        for (SelectionKey key : selector.selectedKeys()) {
            dispatch(key);
        }
        selector.selectedKeys().clear();
        runTasks();
        long now = clock.nowMs();
        while (!timers.isEmpty() && timers.peek().atMs() <= now) {
            runGuarded(timers.poll().task());
        }
        Queue<PeerChannel> flushing = new ArrayDeque<>(toFlush);
        toFlush.clear();
        flushing.forEach(channel -> runGuarded(channel::flush));
    }

    /** Runs one task, whose failure must not keep the others from running. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logFailure(e);
        }
    }

    private static void logFailure(Throwable failure) {
        LOG.error("SAP1101", failure, "A step of the event loop of the peer connections failed");
    }

    private synchronized void runTasks() {
        Runnable task = tasks.poll();
        while (task != null) {
            runGuarded(task);
            task = tasks.poll();
        }
    }

    private static void dispatch(SelectionKey key) {
        ChannelEventHandler handler = (ChannelEventHandler) key.attachment();
        try {
            if (key.isValid()) {
                handler.onReady(key);
            }
        } catch (IOException | RuntimeException e) {
            handler.onFailure(e);
        } catch (Error e) {
            logFailure(e);
            handler.onFailure(new IOException("the connection failed with an error", e));
        }
    }

    // A timeout of 0 makes the selector wait without a limit, which is intended without timers
    // only.
    private long selectTimeoutMs() {
        return timers.isEmpty() ? 0 : Math.max(1, timers.peek().atMs() - clock.nowMs());
    }

    private static IOException closedCause() {
        return new IOException("the event loop of the connections was closed");
    }

    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(CLOSE_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        handlerExecutor.shutdown();
    }

    private record Timer(long atMs, Runnable task) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return Long.compare(atMs, other.atMs);
        }
    }
}

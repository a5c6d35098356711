package io.sapphirestack.runtime.concurrent;

import io.sapphirestack.core.time.MillisClock;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Thread of a long-lived part of the process. A run of the task that ends before the thread is
 * closed is followed by another one after a delay, whatever ended it: an exception, an error or a
 * normal return. The first delay is {@value #FIRST_DELAY_MS} ms; it doubles up to {@value
 * #MAX_DELAY_MS} ms, and starts again after a run of at least {@value #STABLE_RUN_MS} ms.
 * Thread-safe.
 */
public final class RestartingThread implements AutoCloseable {

    /** Delay before the first restart, in milliseconds. */
    public static final long FIRST_DELAY_MS = 200;

    /** Longest delay before a restart, in milliseconds. */
    public static final long MAX_DELAY_MS = 2_000;

    /** Duration of a run after which the next failure counts as the first one, in milliseconds. */
    static final long STABLE_RUN_MS = 10_000;

    private final String name;
    private final Task task;
    private final FailureListener failureListener;
    private final MillisClock clock = MillisClock.monotonic();
    private final AtomicBoolean started = new AtomicBoolean();
    private final CountDownLatch closing = new CountDownLatch(1);
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private volatile boolean running;

    /**
     * Creates a thread; nothing runs before {@link #start()}.
     *
     * @param name name of the thread
     * @param task task to run; it must return soon after {@link #close()}
     * @param failureListener receives the failure of each run that is followed by another one
     */
    public RestartingThread(String name, Task task, FailureListener failureListener) {
        this.name = Objects.requireNonNull(name, "name");
        this.task = Objects.requireNonNull(task, "task");
        this.failureListener = Objects.requireNonNull(failureListener, "failureListener");
    }

    /** Starts the thread; further calls have no effect. */
    public void start() {
        if (started.compareAndSet(false, true)) {
            DaemonThreads.namedFactory(name).newThread(this::runUntilClosed).start();
        }
    }

    /** Returns whether a run of the task is in progress, unlike before the start or in a delay. */
    public boolean isRunning() {
        return running;
    }

    /** Returns whether {@link #close()} was called. */
    public boolean isClosing() {
        return closing.getCount() == 0;
    }

    /**
     * Returns a future that completes when the thread has ended after {@link #close()}, or when it
     * was closed without having been started.
     */
    public CompletableFuture<Void> completion() {
        return ended;
    }

    /** Ends the thread after the current run, without waiting for it. */
    @Override
    public void close() {
        closing.countDown();
        if (started.compareAndSet(false, true)) {
            ended.complete(null);
        }
    }

    private void runUntilClosed() {
        try {
            long delayMs = FIRST_DELAY_MS;
            while (!isClosing()) {
                long startedAtMs = clock.nowMs();
                Throwable failure = runOnce();
                if (isClosing()) {
                    return;
                }
                if (clock.nowMs() - startedAtMs >= STABLE_RUN_MS) {
                    delayMs = FIRST_DELAY_MS;
                }
                failureListener.onFailure(failure, delayMs);
                closing.await(delayMs, TimeUnit.MILLISECONDS);
                delayMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            ended.complete(null);
        }
    }

    /**
     * Runs the task once. Errors count as failures like exceptions: a lack of direct memory, for
     * example, passes, and the part would otherwise be missing until the process is restarted.
     */
    private Throwable runOnce() throws InterruptedException {
        running = true;
        try {
            task.run();
            return new IllegalStateException("the task of the thread returned");
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception | Error e) {
            return e;
        } finally {
            running = false;
        }
    }

    /** Task of a long-lived thread. */
    @FunctionalInterface
    public interface Task {

        /**
         * Runs until the thread is closed.
         *
         * @throws Exception if this run cannot go on; the thread starts another one
         */
        void run() throws Exception;
    }

    /** Receives the failures of the task, on the thread itself. */
    @FunctionalInterface
    public interface FailureListener {

        /**
         * Called before the delay of a restart.
         *
         * @param failure exception or error that ended the run
         * @param restartInMs time until the next run, in milliseconds
         */
        void onFailure(Throwable failure, long restartInMs);
    }
}

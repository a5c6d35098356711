package io.sapphirestack.runtime.endpoint;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Task that runs with a fixed delay between two runs until it is closed. Thread-safe. */
final class PeriodicTask implements AutoCloseable {

    private final Runnable task;
    private final long delayMs;
    private final Consumer<RuntimeException> onFailure;
    private ScheduledFuture<?> schedule;

    PeriodicTask(Runnable task, long delayMs, Consumer<RuntimeException> onFailure) {
        this.task = Objects.requireNonNull(task, "task");
        this.delayMs = delayMs;
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure");
    }

    synchronized void start(ScheduledExecutorService scheduler) {
        if (schedule != null) {
            throw new IllegalStateException("periodic task has already been started");
        }
        schedule =
                scheduler.scheduleWithFixedDelay(
                        this::run, delayMs, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Passes exceptions to the failure handler, because the scheduler would cancel the task on an
     * exception.
     */
    private void run() {
        try {
            task.run();
        } catch (RuntimeException e) {
            onFailure.accept(e);
        }
    }

    @Override
    public synchronized void close() {
        if (schedule != null) {
            schedule.cancel(false);
        }
    }
}
